import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator names two tenants in Cyrillic letters, and both send requests. */
final class TenantNames {
    private static final int DEADLINE = 4_000;
    private static final int REQUESTS = 40;
    private static final String[] KEYS = {"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"};

    /** Two districts of Khangai, in Mongolian, or, without the trouble, in Latin letters. */
    private static final String[] TENANTS = Rig.TROUBLE
        ? new String[] {"\u0426\u0430\u0445\u0438\u0440", "\u0425\u0430\u0439\u0440\u0445"}
        : new String[] {"Tsakhir", "Khairkh"};

    public static void main(String[] arguments) {
        Rig.play(arguments[0], TenantNames::run);
    }

    private static String escaped(String text) {
        StringBuilder escaped = new StringBuilder();
        for (char letter : text.toCharArray()) {
            escaped.append(letter < 128 ? "" + letter : String.format("\\u%04x", (int) letter));
        }
        return escaped.toString();
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("stamp", "/stamp/", "non_idempotent", "permit-desk", DEADLINE, 1));
        StringBuilder tenants = new StringBuilder("\"tenants\":[");
        for (int i = 0; i < 2; i++) {
            tenants.append(i == 0 ? "" : ",").append("{\"name\":\"").append(escaped(TENANTS[i]))
                .append("\",\"api_keys\":[\"").append(KEYS[i]).append("\"],\"priority\":1}");
        }
        String configuration = Rig.configuration(7, routes, List.of(Rig.service("permit-desk", 0, 0)));
        configuration = configuration.substring(0, configuration.indexOf("\"tenants\":")) + tenants + "]}";
        rig.log("configuration: " + configuration);
        rig.put("config", "main", configuration);
        Map<String, String> seen = new ConcurrentHashMap<>();
        for (String zone : new String[] {"tsetserleg", "tariat", "ikh-tamir"}) {
            rig.new Server("i-" + Rig.newId().substring(0, 8), "permit-desk", zone, "v1", 6, (server, request, out) -> {
                seen.put(request.id(), request.header("X-Tenant"));
                Thread.sleep(30);
                out.answer(200, server.headers(request), "stamp for " + request.id());
            }).start();
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (String zone : new String[] {"tsetserleg", "tariat", "ikh-tamir"}) {
            routers.add(rig.new Router("front-" + zone + "-1", zone));
        }
        for (Rig.Router router : routers) router.start(routers);
        rig.awaitReady(routers);
        Thread.sleep(3_000);
        List<Map<String, Integer>> seenOf = List.of(new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
        int notRun = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = Rig.newId();
            int tenant = number % 2;
            int status = 0;
            Rig.Router router = routers.get(number % routers.size());
            try (Rig.Client client = new Rig.Client(router.port, DEADLINE)) {
                String headers = "Host: " + Rig.HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + DEADLINE
                    + "\r\nAuthorization: Token " + KEYS[tenant] + "\r\n";
                client.send("POST", "/stamp/2f", headers, "stamp".getBytes());
                status = client.receive().status;
            } catch (IOException lost) {
                // status 0
            }
            String header = seen.get(id);
            if (header == null) {
                notRun++;
                rig.log("request " + id + " at " + router.name + " answered " + status + ", not run");
                continue;
            }
            String bytes = new String(header.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
            seenOf.get(tenant).merge(bytes, 1, Integer::sum);
            rig.log("request " + id + " at " + router.name + " with the key of tenant " + escaped(TENANTS[tenant])
                + " answered " + status + ", ran with X-Tenant: " + escaped(bytes));
        }
        rig.log("X-Tenant of the first tenant's requests: " + seenOf.get(0) + ", of the second's: " + seenOf.get(1)
            + "; not run: " + notRun);
        boolean mixed = seenOf.get(0).keySet().stream().anyMatch(seenOf.get(1)::containsKey);
        rig.log(mixed ? "BROKEN: the server can't tell the tenants apart" : "held");
        return !mixed;
    }
}
