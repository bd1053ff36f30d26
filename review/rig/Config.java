import java.util.List;
import java.util.Map;

/** The configuration of the cases, in the layout that the wire examples show. */
final class Config {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String AUTHORIZATION = "Authorization: Token " + KEY + "\r\n";
    /** The key of a second tenant. */
    static final String OTHER_KEY = "anfqasnmgkcuyj8pjbvk";
    static final String OTHER_AUTHORIZATION = "Authorization: Token " + OTHER_KEY + "\r\n";

    private Config() {
    }

    static Map<String, Object> main(int version) {
        return Json.of(
            "version", version,
            "routes", List.of(
                route("r-book", "/book/", "non_idempotent", 4_000, 386, 1),
                route("r-read", "/read/", "idempotent", 4_000, 386, 2)),
            "services", List.of(Json.of("name", "booking-app", "health_path", "/health", "max_connections", 110,
                "protocol", "h1", "tls", false, "cold_start_s", 0.0, "cold_per_s", 0.0)),
            "limits", Json.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3_000,
                "idle_timeout_ms", 15_000),
            "tenants", List.of(
                Json.of("name", "hule930", "api_keys", List.of(KEY), "priority", 1),
                Json.of("name", "ziwu352", "api_keys", List.of(OTHER_KEY), "priority", 1)));
    }

    private static Map<String, Object> route(String name, String prefix, String type, int timeout, int target,
        int attempts) {
        return Json.of("name", name, "hostname", "shop.example", "path_prefix", prefix, "route_type", type,
            "timeout_ms", timeout, "target_latency_ms", target, "priority", 1, "service", "booking-app",
            "max_attempts", attempts, "public_access", false, "session_affinity", false, "stream_resume", false);
    }
}
