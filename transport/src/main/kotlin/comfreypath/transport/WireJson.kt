package comfreypath.transport

import kotlinx.serialization.json.Json

/** JSON as every process of the fleet reads and writes it: unknown fields are skipped, defaults are left out. */
val wireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}
