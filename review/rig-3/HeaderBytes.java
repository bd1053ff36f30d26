import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients name a model, and the operator names tenants, in a language whose letters are not all in ASCII. */
final class HeaderBytes {
    private static final int DEADLINE = 4_000;
    private static final int REQUESTS = 20;
    private static final String[] MODELS = Rig.TROUBLE ? new String[] {"räystäs", "röystös"} : new String[] {"raystas", "roystos"};
    private static final String[] TENANTS = Rig.TROUBLE ? new String[] {"Kattoässä", "Kattoöljy"} : new String[] {"Kattoassa", "Kattooljy"};
    private static final String[] KEYS = {"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"};

    public static void main(String[] arguments) throws Exception {
        try (Rig rig = new Rig(arguments[0])) {
            System.exit(run(rig) ? 0 : 1);
        }
    }

    /** The text as a peer reads it whose headers are bytes, one character for each. */
    private static String bytes(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("history", "/history/", "idempotent", "booking-app", DEADLINE, 2));
        String tenants = "\"tenants\":[{\"name\":\"" + TENANTS[0] + "\",\"api_keys\":[\"" + KEYS[0] + "\"]},{\"name\":\""
            + TENANTS[1] + "\",\"api_keys\":[\"" + KEYS[1] + "\"]}]}";
        String configuration = Rig.configuration(7, routes, List.of(Rig.service("booking-app", 0, 0)))
            .replaceAll("\"tenants\":.*$", tenants);
        rig.put("config", "main", configuration);
        Map<String, Rig.Request> ran = new ConcurrentHashMap<>();
        for (int i = 0; i < 3; i++) {
            rig.new Server("i-" + Rig.newId().substring(0, 8), "booking-app", "fi-south-a", "v1", 6, (server, request, out) -> {
                ran.put(request.id(), request);
                out.answer(200, server.headers(request), "answer to " + request.id());
            }).start();
        }
        List<Rig.Router> routers = new ArrayList<>();
        routers.add(rig.new Router("front-fi-south-a-1", "fi-south-a"));
        routers.get(0).start(routers);
        rig.awaitReady(routers);
        Thread.sleep(3_000);
        int others = 0;
        int wrongModels = 0;
        int wrongTenants = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = Rig.newId();
            String model = MODELS[number % 2];
            String tenant = TENANTS[number % 2];
            int status = 0;
            try (Rig.Client client = new Rig.Client(routers.get(0).port, DEADLINE)) {
                String headers = "Host: " + Rig.HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + DEADLINE
                    + "\r\nAuthorization: Token " + KEYS[number % 2] + "\r\nX-Model: " + bytes(model) + "\r\n";
                client.send("GET", "/history/2f", headers, new byte[0]);
                status = client.receive().status;
            } catch (IOException lost) {
                // counted as 0
            }
            Rig.Request request = ran.get(id);
            String seenModel = request == null ? "(not run)" : request.header("X-Model");
            String seenTenant = request == null ? "(not run)" : request.header("X-Tenant");
            rig.log("request " + id + " answered " + status + "; X-Model sent " + bytes(model) + ", at the server "
                + seenModel + "; tenant " + bytes(tenant) + ", X-Tenant at the server " + seenTenant);
            if (request == null) {
                others++;
                continue;
            }
            if (!seenModel.equals(bytes(model))) wrongModels++;
            if (!seenTenant.equals(bytes(tenant))) wrongTenants++;
        }
        rig.log("of " + REQUESTS + " requests, ran with another X-Model: " + wrongModels + ", ran with another X-Tenant: "
            + wrongTenants + ", not run: " + others);
        boolean broken = wrongModels + wrongTenants > 0;
        rig.log(broken ? "BROKEN" : "held");
        return !broken;
    }
}
