import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent, while new ones work; then servers drain. */
final class SilentStore {
    private static final double CONTACT_S = 3.0;
    private static final double DRAIN_S = 2.0;
    private static final int SERVERS = 12;
    private static final int LEAVING = 3;
    private static final int ROUTERS_PER_ZONE = 2;
    private static final int REQUESTS_PER_WAVE = 12;
    private static final int WORK_MS = 300;

    /** A server that leaves goes on for a little longer than the drain bound, and exits. */
    private static final double SERVES_ON_S = 0.3;
    private static final double WAVE_S = 3.0;

    private static volatile double boundAt = Double.MAX_VALUE;
    private static final AtomicInteger late = new AtomicInteger();

    private static final java.util.Set<String> lateIds = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private static final AtomicInteger lost = new AtomicInteger();

    private static final class Leaver extends Server {
        Leaver(Rig rig, String id) throws IOException {
            super(rig, id, WORK_MS);
        }

        @Override
        void ran(Http.Message request) {
            boolean tooLate = leaving && rig.now() > boundAt;
            if (tooLate) {
                late.incrementAndGet();
                lateIds.add(request.header("X-Attempt-Id"));
            }
            rig.note("%s runs %s%s", id, request.header("X-Attempt-Id"),
                tooLate ? " LATE" : leaving ? " (leaving)" : "");
        }
    }

    public static void main(String[] arguments) {
        Rig.exitWith(() -> run(arguments[0]));
    }

    private static int run(String folder) throws Exception {
        try (Rig rig = new Rig(folder)) {
            Store store = new Store(false);
            Proxy proxy = new Proxy(store.start());
            List<String> zones = List.of("fi-south-a", "fi-south-b", "fi-south-c");
            store.put("config", "main", Rig.configuration(7,
                List.of(Rig.route("booking", "/booking/", "non_idempotent", 4_000, "booking-app", 1, true)),
                List.of(Rig.service("booking-app", 110)), null));
            List<Leaver> servers = new ArrayList<>();
            for (int number = 0; number < SERVERS; number += 1) {
                Leaver server = new Leaver(rig, "i-" + (number + 1));
                servers.add(server);
                store.put("servers", server.id, entry(server, zones, number, "ready"));
            }
            for (String zone : zones) {
                for (int number = 1; number <= ROUTERS_PER_ZONE; number += 1) {
                    rig.addRouter("front-" + zone + "-" + number, zone, proxy.port);
                }
            }
            if (!rig.startAll()) return Rig.NOT_RUN;
            Rig.Counts answers = new Rig.Counts();
            double silentAt = rig.now() + 7;
            double drainAt = silentAt + CONTACT_S + 0.2;
            double waveAfterBound = drainAt + DRAIN_S + 0.1;
            for (Rig.Router router : rig.routers()) {
                clients(rig, router, waveAfterBound - 4 * WAVE_S, waveAfterBound + 5, answers);
            }

            rig.sleepUntil(silentAt - 0.3);
            Leaver added = new Leaver(rig, "i-" + (SERVERS + 1));
            store.put("servers", added.id, entry(added, zones, SERVERS, "ready"));
            rig.note("%s is added", added.id);
            rig.sleepUntil(silentAt);
            if (rig.trouble) rig.note("%d open connections to the store go silent", proxy.silence());

            rig.sleepUntil(drainAt);
            List<Leaver> leavers = new ArrayList<>(servers);
            Collections.shuffle(leavers);
            for (Leaver server : leavers.subList(0, LEAVING)) {
                server.leaving = true;
                store.put("servers", server.id, entry(server, zones, servers.indexOf(server), "draining"));
                rig.note("the store has acknowledged that %s is draining", server.id);
            }
            boundAt = rig.now() + DRAIN_S;
            rig.sleepUntil(boundAt + SERVES_ON_S);
            for (Server server : leavers.subList(0, LEAVING)) {
                server.exit();
                rig.note("%s exits", server.id);
            }
            rig.sleepUntil(boundAt + 5);
            rig.note("answers: %s", answers);
            rig.note("bookings that ran there and got no success: %d", lost.get());
            rig.note("requests that reached a draining server later than %.1f s after the acknowledgement: %d", DRAIN_S, late.get());
            rig.note("DRAIN: %s", late.get() > 0 ? "BROKEN" : "held");
            return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
        }
    }

    private static String entry(Server server, List<String> zones, int number, String state) {
        return Rig.serverEntry("booking-app", server.port, zones.get(number % zones.size()), 6, state);
    }

    /** Waves of requests, every three seconds, of which one comes just after the drain bound. */
    private static void clients(Rig rig, Rig.Router router, double firstWaveAt, double endsAt, Rig.Counts answers) {
        Rig.spawn(() -> {
            try {
                for (double wave = firstWaveAt; wave < endsAt; wave += WAVE_S) {
                    rig.sleepUntil(wave);
                    for (int number = 0; number < REQUESTS_PER_WAVE; number += 1) {
                        Rig.spawn(() -> send(rig, router, answers));
                        Thread.sleep(5);
                    }
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static void send(Rig rig, Rig.Router router, Rig.Counts answers) {
        String id = rig.id();
        Http.Message answer = Http.call(router.front, "POST /booking/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: "
            + id + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 4\r\n\r\n", "book".getBytes(), 4_500);
        String result = answer == null ? "none" : Integer.toString(answer.status());
        answers.add(result);
        if (lateIds.contains(id) && !result.equals("200")) lost.incrementAndGet();
        rig.note("%s to %s: %s", id, router.name, result);
    }
}
