/* Error codes: negative numbers, each with a name and an explanation. */
#ifndef ERROR_H
#define ERROR_H

/*
 * X(symbol, number, name, text). Numbers are part of the peer protocol and of
 * the answers to callers: never reuse one. They are consecutive, because
 * error_name() uses them as an index.
 */
#define ERROR_LIST(X)                                                          \
	X(ERR_NONE, 0, "none", "no error")                                     \
	X(ERR_SYSTEM, -1, "system", "a system call failed")                    \
	X(ERR_IO, -2, "io", "reading or writing failed")                       \
	X(ERR_SYNTAX, -3, "syntax", "the text is malformed")                   \
	X(ERR_KEY_UNKNOWN, -4, "key_unknown", "there is no such key")          \
	X(ERR_KEY_MISSING, -5, "key_missing", "a required key is missing")     \
	X(ERR_TYPE, -6, "type", "the value has the wrong type")                \
	X(ERR_RANGE, -7, "range", "the value is out of bounds")                \
	X(ERR_DUPLICATE, -8, "duplicate", "the name is already in use")        \
	X(ERR_REFERENCE, -9, "reference",                                      \
	  "the value refers to something unknown")                             \
	X(ERR_TOO_LARGE, -10, "too_large", "the message is too large")         \
	X(ERR_VERSION, -11, "version", "the protocol version is unsupported")  \
	X(ERR_FRAME, -12, "frame", "the frame is malformed or unknown")        \
	X(ERR_BAD_REQUEST, -13, "bad_request", "the request is malformed")     \
	X(ERR_NO_SERVICE, -14, "no_service",                                   \
	  "the service is not in the table")                                   \
	X(ERR_NOT_RUN, -15, "not_run", "refused before it was run")            \
	X(ERR_OVERLOAD, -16, "overload", "refused due to overload; not run")   \
	X(ERR_TOO_LATE, -17, "too_late", "the deadline has passed")            \
	X(ERR_UNKNOWN, -18, "unknown", "the outcome is not known")             \
	X(ERR_CANCELLED, -19, "cancelled", "the request was cancelled")        \
	X(ERR_NOT_HOME, -20, "not_home",                                       \
	  "this instance has no share of the server")                          \
	X(ERR_NO_SLOT, -21, "no_slot", "no slot became free in time")          \
	X(ERR_SHED, -22, "shed", "the backend server shed the request")        \
	X(ERR_DRAINING, -23, "draining",                                       \
	  "the backend server is shutting down")                               \
	X(ERR_CONNECT, -24, "connect",                                         \
	  "the connection could not be established")                           \
	X(ERR_LOST, -25, "lost", "the connection broke after sending")         \
	X(ERR_SILENT, -26, "silent", "the connection made no progress")        \
	X(ERR_WRONG_VERSION, -27, "wrong_version",                             \
	  "the snapshot version is not available")                             \
	X(ERR_NOT_HELD, -28, "not_held", "the server does not hold the shard") \
	X(ERR_FOREIGN, -29, "foreign",                                         \
	  "the answer belongs to another request")                             \
	X(ERR_NO_REPLICA, -30, "no_replica", "no replica is known")            \
	X(ERR_LEAVING, -31, "leaving", "this instance is shutting down")       \
	X(ERR_BANNED, -32, "banned", "the request crashes backend servers")    \
	X(ERR_STALE, -33, "stale",                                             \
	  "the revision is older than the current one")                        \
	X(ERR_CONFLICT, -34, "conflict", "same revision, different content")   \
	X(ERR_TICKET, -35, "ticket", "the ticket is invalid or expired")       \
	X(ERR_UNAVAILABLE, -36, "unavailable", "the peer cannot be reached")   \
	X(ERR_BUDGET, -37, "budget", "the budget is exhausted")                \
	X(ERR_PROTOCOL, -38, "protocol", "the answer violates the protocol")   \
	X(ERR_NO_SNAPSHOT, -39, "no_snapshot", "no snapshot is known")         \
	X(ERR_NOT_LEASED, -40, "not_leased", "the lease has expired")          \
	X(ERR_USAGE, -41, "usage", "the command line is invalid")              \
	X(ERR_ADDRESS, -42, "address", "the address is in use or invalid")     \
	X(ERR_TICKET_EXPIRED, -43, "ticket_expired",                           \
	  "the ticket expired; its request was not run")                       \
	X(ERR_TICKET_LOST, -44, "ticket_lost",                                 \
	  "the ticket's record is gone; the outcome is not known")             \
	X(ERR_PART, -45, "part", "a part of the table is missing or differs")  \
	X(ERR_NO_TRACE, -46, "no_trace", "no request with this id is known")   \
	X(ERR_TRACE_EVICTED, -47, "trace_evicted",                             \
	  "the record of the request was evicted by later ones")               \
	X(ERR_COLD, -48, "cold", "the backend server is still warming up")     \
	X(ERR_LEFT_OUT, -49, "left_out",                                       \
	  "not sent: the answer was expected too late")                        \
	X(ERR_NAME, -50, "name", "the name can be that of no backend server")

#define ERROR_ENUM(symbol, number, name, text) symbol = number,
enum error_code {
	ERROR_LIST(ERROR_ENUM)
};
#undef ERROR_ENUM

#define ERROR_SUBJECT_SIZE 96
#define ERROR_VALUE_SIZE 96

/**
 * struct error - a failure with its context
 * @code: kind of failure
 * @subject: location: a key path, "sheet row N column C", or an address
 * @value: the value found there, truncated to fit
 * @expected: the expected value; a constant text, or NULL
 * @line: line in the document, 0 if unknown
 */
struct error {
	enum error_code code;
	char subject[ERROR_SUBJECT_SIZE];
	char value[ERROR_VALUE_SIZE];
	const char *expected;
	int line;
};

/**
 * error_name() - the stable name of a code, as used in answers and logs
 * @code: any number, including one received from a peer
 *
 * Return: a constant text; "unknown_code" for an unknown number.
 */
const char *error_name(int code);

/**
 * error_text() - a one-line explanation of a code
 * @code: any number, including one received from a peer
 *
 * Return: a constant text.
 */
const char *error_text(int code);

/**
 * error_set() - fill in an error
 * @err: filled; may be NULL
 * @code: kind of failure
 * @subject: location; copied
 * @value: the value found; copied, may be NULL
 * @expected: constant text, may be NULL
 *
 * Sets the line to 0.
 *
 * Return: @code, so that callers can return it directly.
 */
int error_set(struct error *err, enum error_code code, const char *subject,
	      const char *value, const char *expected);

#endif
