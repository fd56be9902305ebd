package org.bulrushtack.forward.duty

/** The result of a call to the duty address. */
enum class DutyCallResult {
    /** The platform has accepted the call. */
    ACCEPTED,

    /** The platform has seen a higher fencing token; the hold is lost. */
    FENCED,

    /** The platform takes no more calls now. */
    RATE_LIMITED,

    /** The platform refused the call for another reason. */
    REFUSED,

    /** No answer came; the call may still be executed. */
    UNKNOWN,

    /** The call was not sent, since the hold could not be confirmed. */
    NOT_SENT,
}
