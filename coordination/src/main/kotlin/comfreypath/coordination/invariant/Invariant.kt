package comfreypath.coordination.invariant

/**
 * Conditions that must always hold, checked at run time.
 *
 * @property text name in metrics and logs
 */
enum class Invariant(val text: String) {
    /** An evacuated data centre receives no new requests. */
    DATA_CENTRE_OUT("data_centre_out"),

    /** A draining endpoint receives no new requests. */
    ENDPOINT_LEAVING("endpoint_leaving"),

    /** A request that must not be repeated is sent again only if all earlier attempts are known not to have run. */
    AT_MOST_ONCE("at_most_once"),

    /** A request that was refused as "not run" has not run. */
    NOT_RUN_IS_TRUE("not_run_is_true"),

    /** Each response goes to the caller of its own request. */
    OWN_ANSWER("own_answer"),

    /** A graceful shutdown aborts no request. */
    GRACEFUL_STOP("graceful_stop"),

    /** The version of the configuration in force never decreases. */
    CONFIGURATION_FORWARD("configuration_forward"),
}
