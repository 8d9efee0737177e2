/*
 * The steps of a request and of a change of the table. The fault matrix
 * and the documentation use these names.
 */
#ifndef STEP_H
#define STEP_H

/* X(symbol, name, what has happened once the step is reached) */
#define REQUEST_STEP_LIST(X)                                                   \
	X(STEP_ADMITTED, "admitted", "the entry accepted the request")         \
	X(STEP_ROUTED, "routed", "the entry handed a part of it to a home")    \
	X(STEP_AT_HOME, "at_home", "a home accepted the part")                 \
	X(STEP_SENT, "sent", "a home sent it to a backend server")             \
	X(STEP_RUNNING, "running", "a backend server runs it in a slot")       \
	X(STEP_ANSWERED, "answered", "a backend server answered")              \
	X(STEP_MERGED, "merged", "the entry counted a partial answer")         \
	X(STEP_RETURNED, "returned", "the caller has its outcome")

#define CHANGE_STEP_LIST(X)                                                    \
	X(STEP_PUBLISHED, "published", "the platform serves the revision")     \
	X(STEP_READ, "read", "a reader got the revision from the platform")    \
	X(STEP_PUSHED, "pushed", "a peer got it from another instance")        \
	X(STEP_IN_FORCE, "in_force", "every reachable instance applies it")

#define STEP_ENUM(symbol, name, meaning) symbol,
enum request_step {
	REQUEST_STEP_LIST(STEP_ENUM) REQUEST_STEPS
};
enum change_step {
	CHANGE_STEP_LIST(STEP_ENUM) CHANGE_STEPS
};
#undef STEP_ENUM

#endif
