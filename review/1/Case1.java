import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A server crashes in the middle of an answer without a length, while the request's long body is on its way. */
public final class Case1 {
    private static final int SERVERS = 6;
    private static final int BOOKINGS = 6;
    /** The limit, max_body_bytes. */
    private static final int SIZE = 4_194_304;

    private Case1() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0], arguments[1]);
        Store store = new Store(rig.host(200));
        AtomicReference<Process> working = new AtomicReference<>();
        for (int i = 0; i < SERVERS; i++) {
            String id = "i-7f3a91c" + i;
            Process server = new ProcessBuilder("java", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                "Server1", id, "fi-south-a", rig.host(100 + i)).redirectErrorStream(true).start();
            rig.endLater(server);
            BufferedReader output = server.inputReader();
            String address = output.readLine().split(" ")[1];
            Rig.daemon("output", () -> output.lines().forEach(line -> {
                rig.record("server", line);
                if (line.startsWith("run ")) {
                    working.compareAndSet(null, server);
                }
            }));
            Map<String, Object> entry = Json.of("service", "booking-app", "address", address, "zone", "fi-south-a",
                "version", "v1", "slots", 6, "state", "ready", "cold_left_ms", 0, "seq", 1);
            store.put("servers", id, entry);
            rig.record("server", id, address, "pid", server.pid());
        }
        store.put("config", "main", Config.main(1));
        Rig.Router router = rig.declare("fi-south-a");
        rig.start(router, store);
        if (!rig.awaitReady(30)) {
            rig.finish(Rig.COULD_NOT_RUN, "the router was not ready in time");
        }
        Rig.sleep(3_000);

        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < BOOKINGS; k++) {
            String id = "b" + k;
            clients.add(new Thread(() -> {
                rig.record("send", id, SIZE + "B");
                try (Client client = new Client(router)) {
                    Client.Answer answer = client.send("POST", "/book/x", id, 4_000, Config.AUTHORIZATION,
                        new byte[SIZE]);
                    String body = answer.body == null ? "" : new String(answer.body, StandardCharsets.ISO_8859_1);
                    rig.record("answer", id, answer, answer.head == null ? "" : answer.head.headers, "body:", body);
                    if (answer.failure == null && answer.status == 200) {
                        (body.equals(Server1.whole(id)) ? complete : wrong).incrementAndGet();
                    }
                }
            }));
            clients.get(k).start();
        }
        for (int i = 0; i < 300 && working.get() == null; i++) {
            Rig.sleep(10);
        }
        Rig.sleep(Server1.WORK_MS / 2);
        if (Rig.TROUBLE && working.get() != null) {
            // One of six servers: a share of 0.167.
            rig.record("SIGKILL", "pid", working.get().pid());
            working.get().destroyForcibly();
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = wrong.get() + " bookings were answered 200 with half of the server's body, "
            + complete.get() + " with the whole body, of " + BOOKINGS;
        rig.finish(wrong.get() > 0 ? Rig.BROKEN : complete.get() == 0 ? Rig.COULD_NOT_RUN : Rig.HELD, counts);
    }
}
