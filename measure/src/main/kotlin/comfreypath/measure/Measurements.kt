package comfreypath.measure

/** The measurement of how the cost of decisions grows. Its output depends on the machine. */
val slopes: Measurement = Measurement("slopes", steps = 1, routers = 400, endpoints = 3_300) { Slopes(it).run() }

/** The deterministic measurements, whose output depends only on their seed and options. */
val measurements: List<Measurement> = listOf(
    Measurement("at-most-once", steps = 200_000) { AtMostOnce(it).run() },
    Measurement("control-traffic", steps = 60, routers = 400) { ControlTraffic(it).run() },
)
