package comfreypath.transport

import kotlinx.serialization.json.Json

/** The JSON format of the fleet: ignores unknown fields on reading, omits nulls and defaults on writing. */
val wireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}
