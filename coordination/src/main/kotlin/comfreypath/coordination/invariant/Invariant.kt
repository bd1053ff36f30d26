package comfreypath.coordination.invariant

/**
 * What must always hold.
 *
 * @property text the name in metrics and logs
 */
enum class Invariant(val text: String) {
    /** A data centre that was taken out receives no new work. */
    DATA_CENTRE_OUT("data_centre_out"),

    /** An endpoint that leaves receives no new work. */
    ENDPOINT_LEAVING("endpoint_leaving"),

    /** A request that may not be repeated is sent once unless every attempt before is known not to have run. */
    AT_MOST_ONCE("at_most_once"),

    /** A refusal that says "not run" is true. */
    NOT_RUN_IS_TRUE("not_run_is_true"),

    /** Every answer goes to the caller of its own request. */
    OWN_ANSWER("own_answer"),

    /** A planned stop cuts no request. */
    GRACEFUL_STOP("graceful_stop"),

    /** The configuration in force never reverts. */
    CONFIGURATION_FORWARD("configuration_forward"),
}
