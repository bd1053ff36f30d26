package comfreypath.measure

/** The measurement of slopes, whose output depends on the machine. */
val slopes: Measurement = Measurement("slopes", steps = 1, routers = 400, endpoints = 3_300) { Slopes(it).run() }

/** Every measurement whose output depends on its seed alone. */
val measurements: List<Measurement> = listOf(
    Measurement("at-most-once", steps = 200_000) { AtMostOnce(it).run() },
    Measurement("control-traffic", steps = 60, routers = 400) { ControlTraffic(it).run() },
)
