import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of twelve servers leave at the same time without having reported that they drain: their entries are removed,
 * they serve for drain_ms and a little longer, and exit.
 */
public final class Case5 {
    private static final int SERVERS = 12;
    private static final int LEAVING = 3;
    private static final int DRAIN_MS = 2_000;
    /** How long the servers serve on, as PROTOCOL.md says: drain_ms and a little longer. */
    private static final int SERVES_ON_MS = 2_150;
    private static final int CLIENTS = 4;
    private static final int RUN_MS = 10_000;

    private Case5() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0], arguments[1]);
        Store store = new Store(rig.host(200));
        Map<String, Long> goneAt = new ConcurrentHashMap<>();
        Map<String, String> lateRuns = new ConcurrentHashMap<>();
        List<Backend> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            String zone = "fi-south-" + "abc".charAt(i % 3);
            Backend server = new Backend(rig, String.format("i-7f3a91%02x", 16 + i), "booking-app", zone,
                rig.host(100 + i), 0) {
                @Override
                void arrived(String request, byte[] body) {
                    Long gone = goneAt.get(id);
                    if (gone != null && rig.now() > gone + DRAIN_MS) {
                        lateRuns.put(request, id);
                        rig.record("late", id, request, "reached it", rig.now() - gone, "ms after its entry was removed");
                    }
                }
            };
            servers.add(server);
            store.put("servers", server.id, server.entry());
        }
        store.put("config", "main", Config.main(1));
        for (String zone : "aaaabbccc".split("")) {
            rig.declare("fi-south-" + zone);
        }
        for (Rig.Router router : rig.routers) {
            rig.start(router, store);
        }
        if (!rig.awaitReady(30)) {
            rig.finish(Rig.COULD_NOT_RUN, "the routers were not ready in time");
        }
        Rig.sleep(6_000);

        long end = rig.now() + RUN_MS;
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS * rig.routers.size(); k++) {
            int number = k;
            clients.add(new Thread(() -> {
                try (Client client = new Client(rig.routers.get(number % rig.routers.size()))) {
                    for (int i = 0; rig.now() < end; i++) {
                        String id = "b" + number + "-" + i;
                        Client.Answer answer = client.send("POST", "/book/x", id, 4_000, Config.AUTHORIZATION,
                            new byte[600]);
                        boolean good = answer.failure == null && answer.status == 200;
                        (good ? answered : lost).incrementAndGet();
                        if (!good) {
                            rig.record("lost", id, answer, "late at " + lateRuns.get(id));
                        }
                        Rig.sleep(15);
                    }
                }
            }));
            clients.get(k).start();
        }
        Rig.sleep(4_000);
        if (Rig.TROUBLE) {
            List<Backend> leaving = servers.subList(0, LEAVING);
            for (Backend server : leaving) {
                store.remove("servers", server.id);
                goneAt.put(server.id, rig.now());
            }
            for (Backend server : leaving) {
                rig.record("removed", server.id, "at", goneAt.get(server.id), "ms");
                Rig.daemon("exit", () -> {
                    Rig.sleep(goneAt.get(server.id) + SERVES_ON_MS - rig.now());
                    rig.record("exit", server.id);
                    server.exit();
                });
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Rig.Router router : rig.routers) {
            rig.log(router, "endpoint_kept_without_entry").forEach(line -> rig.record("log", line));
        }
        rig.finish(lateRuns.isEmpty() ? Rig.HELD : Rig.BROKEN, lateRuns.size() + " bookings reached a server later than "
            + DRAIN_MS + " ms after the removal of its entry; " + answered.get() + " bookings were answered, "
            + lost.get() + " were not");
    }
}
