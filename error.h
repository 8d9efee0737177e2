/* Typed errors: negative numbers with a name and a text each. */
#ifndef ERROR_H
#define ERROR_H

/*
 * X(symbol, number, name, text). Numbers are part of the peer protocol and of
 * the answers to callers: never reuse one.
 */
#define ERROR_LIST(X)                                                          \
	X(ERR_NONE, 0, "none", "no error")                                     \
	X(ERR_SYSTEM, -1, "system", "the operating system refused a call")     \
	X(ERR_IO, -2, "io", "reading or writing failed")                       \
	X(ERR_SYNTAX, -3, "syntax", "the text is not well formed")             \
	X(ERR_KEY_UNKNOWN, -4, "key_unknown", "there is no such key")          \
	X(ERR_KEY_MISSING, -5, "key_missing", "a required key is missing")     \
	X(ERR_TYPE, -6, "type", "the value has the wrong type")                \
	X(ERR_RANGE, -7, "range", "the value is out of bounds")                \
	X(ERR_DUPLICATE, -8, "duplicate", "the name is taken")                 \
	X(ERR_REFERENCE, -9, "reference", "the value names nothing known")     \
	X(ERR_TOO_LARGE, -10, "too_large", "the message is too large")         \
	X(ERR_VERSION, -11, "version", "the protocol version is not spoken")   \
	X(ERR_FRAME, -12, "frame", "the frame is malformed or unknown")        \
	X(ERR_BAD_REQUEST, -13, "bad_request", "the request is malformed")     \
	X(ERR_NO_SERVICE, -14, "no_service",                                   \
	  "the service is not in the table")                                   \
	X(ERR_NOT_RUN, -15, "not_run", "refused, and surely not run")          \
	X(ERR_OVERLOAD, -16, "overload", "refused for load, and not run")      \
	X(ERR_TOO_LATE, -17, "too_late", "the deadline passed")                \
	X(ERR_UNKNOWN, -18, "unknown", "the outcome is not known")             \
	X(ERR_CANCELLED, -19, "cancelled", "the request was cancelled")        \
	X(ERR_NOT_HOME, -20, "not_home", "no share of this server here")       \
	X(ERR_NO_SLOT, -21, "no_slot", "no slot came free in time")            \
	X(ERR_SHED, -22, "shed", "the backend server shed the request")        \
	X(ERR_DRAINING, -23, "draining", "the backend server is leaving")      \
	X(ERR_CONNECT, -24, "connect", "the connection was not made")          \
	X(ERR_LOST, -25, "lost", "the connection broke after sending")         \
	X(ERR_SILENT, -26, "silent", "the connection made no progress")        \
	X(ERR_WRONG_VERSION, -27, "wrong_version",                             \
	  "snapshot version not held")                                         \
	X(ERR_NOT_HELD, -28, "not_held", "the shard is not held")              \
	X(ERR_FOREIGN, -29, "foreign",                                         \
	  "the answer belongs to another request")                             \
	X(ERR_NO_REPLICA, -30, "no_replica", "no replica is known")            \
	X(ERR_LEAVING, -31, "leaving", "this instance is stopping")            \
	X(ERR_BANNED, -32, "banned", "the request crashes backend servers")    \
	X(ERR_STALE, -33, "stale", "the revision is lower than that in force") \
	X(ERR_CONFLICT, -34, "conflict", "same revision, other content")       \
	X(ERR_TICKET, -35, "ticket", "the ticket is invalid or expired")       \
	X(ERR_UNAVAILABLE, -36, "unavailable", "the peer cannot be reached")   \
	X(ERR_BUDGET, -37, "budget", "the budget is used up")                  \
	X(ERR_PROTOCOL, -38, "protocol", "the answer breaks the protocol")     \
	X(ERR_NO_SNAPSHOT, -39, "no_snapshot", "no snapshot is known")         \
	X(ERR_NOT_LEASED, -40, "not_leased", "the lease ran out")              \
	X(ERR_USAGE, -41, "usage", "the command line is wrong")                \
	X(ERR_ADDRESS, -42, "address", "the address is in use or invalid")     \
	X(ERR_TICKET_EXPIRED, -43, "ticket_expired",                           \
	  "the ticket expired, and surely was not run")                        \
	X(ERR_TICKET_LOST, -44, "ticket_lost",                                 \
	  "the ticket's record is gone; the outcome is not known")             \
	X(ERR_PART, -45, "part", "a part of the table is missing or differs")  \
	X(ERR_NO_TRACE, -46, "no_trace", "no request of that id is known")     \
	X(ERR_TRACE_EVICTED, -47, "trace_evicted",                             \
	  "the request's record made room for later ones")                     \
	X(ERR_COLD, -48, "cold", "the backend server takes few requests yet")  \
	X(ERR_LEFT_OUT, -49, "left_out", "not sent: expected too late to count")

#define ERROR_ENUM(symbol, number, name, text) symbol = number,
enum error_code {
	ERROR_LIST(ERROR_ENUM)
};
#undef ERROR_ENUM

#define ERROR_SUBJECT_SIZE 96
#define ERROR_VALUE_SIZE 96

/**
 * struct error - a failure with its context
 * @code: what failed
 * @subject: where: a key path, or "sheet row N column C", or an address
 * @value: the value found there, cut to fit
 * @expected: what was expected; a constant text, or NULL
 * @line: line in the document, 0 if not known
 */
struct error {
	enum error_code code;
	char subject[ERROR_SUBJECT_SIZE];
	char value[ERROR_VALUE_SIZE];
	const char *expected;
	int line;
};

/**
 * error_name() - the stable name of a code, as in answers and logs
 * @code: any number, also one from the wire
 *
 * Return: a constant text; "unknown_code" for a number not listed.
 */
const char *error_name(int code);

/**
 * error_text() - one line of explanation for a code
 * @code: any number, also one from the wire
 */
const char *error_text(int code);

/**
 * error_set() - fill in an error
 * @err: filled; may be NULL
 * @code: what failed
 * @subject: where; copied
 * @value: what was found; copied, may be NULL
 * @expected: constant text, may be NULL
 *
 * Return: @code, so that callers can return it at once.
 */
int error_set(struct error *err, enum error_code code, const char *subject,
	      const char *value, const char *expected);

#endif
