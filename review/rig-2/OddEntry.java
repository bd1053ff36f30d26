import java.util.ArrayList;
import java.util.List;

/** Another writer leaves entries of kind `servers` whose fields have another type. */
final class OddEntry {
    private static final int ENTRIES = 4;
    private static final int ROUNDS = 7;
    private static final double ROUND_S = 4;
    private static final int DEPTH = 28;
    private static final int SPEC_BYTES = 700_000;

    public static void main(String[] arguments) {
        Rig.exitWith(() -> run(arguments[0]));
    }

    private static int run(String folder) throws Exception {
        try (Rig rig = new Rig(folder)) {
            Store store = new Store(false);
            int storePort = store.start();
            List<String> zones = List.of("fi-south-a", "fi-south-b", "fi-south-c");
            store.put("config", "main", Rig.configuration(7,
                List.of(Rig.route("history", "/history/", "idempotent", 4_000, "booking-app", 2, true),
                    Rig.route("booking", "/booking/", "non_idempotent", 4_000, "booking-app", 1, true)),
                List.of(Rig.service("booking-app", 110)), null));
            for (String zone : zones) {
                Server server = new Server(rig, "i-" + zone, 60);
                store.put("servers", server.id, Rig.serverEntry("booking-app", server.port, zone, 6, "ready"));
                rig.addRouter("front-" + zone + "-1", zone, storePort);
            }
            if (!rig.startAll()) return Rig.NOT_RUN;
            rig.routers().forEach(Rig.Router::keepRunning);
            Rig.Counts before = new Rig.Counts();
            Rig.Counts after = new Rig.Counts();
            double troubleAt = rig.now() + 4;
            double endsAt = troubleAt + 30;
            for (Rig.Router router : rig.routers()) {
                Rig.spawn(() -> {
                    for (int count = 0; rig.now() < endsAt; count += 1) {
                        send(rig, router, count, rig.now() < troubleAt ? before : after);
                    }
                });
            }
            rig.sleepUntil(troubleAt);
            for (int round = 1; rig.trouble && round <= ROUNDS; round += 1) {
                String spec = oddSpec(round);
                for (int entry = 1; entry <= ENTRIES; entry += 1) store.put("servers", "i-odd-" + entry, spec);
                rig.note("another writer wrote %d entries of %d bytes to servers", ENTRIES, spec.length());
                rig.sleepUntil(troubleAt + ROUND_S * round);
            }
            rig.sleepUntil(endsAt);
            List<String> ends = new ArrayList<>();
            int often = 0;
            for (Rig.Router router : rig.routers()) {
                ends.add(router.name + " " + router.ownEnds.size());
                often += router.ownEnds.size() >= 3 ? 1 : 0;
            }
            rig.note("answers before the entry: %s", before);
            rig.note("answers after it: %s", after);
            rig.note("processes ended by themselves: %s", ends);
            if (!before.toString().contains("200")) return Rig.NOT_RUN;
            boolean broken = often >= 2;
            rig.note("Fault (three ends each on two machines): %s", broken ? "BROKEN" : "held");
            return broken ? Rig.BROKEN : Rig.HELD;
        }
    }

    private static void send(Rig rig, Rig.Router router, int count, Rig.Counts counts) {
        String id = rig.id();
        boolean booking = count % 2 == 0;
        String head = (booking ? "POST /booking/2f" : "GET /history/2f") + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n" + (booking ? "Content-Length: 4\r\n" : "") + "\r\n";
        Http.Message answer = Http.call(router.front, head, booking ? "book".getBytes() : new byte[0], 4_500);
        String result = answer == null ? "none" : Integer.toString(answer.status());
        counts.add(result);
        rig.note("%s to %s: %s", id, router.name, result);
        try {
            Thread.sleep(150);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** The field `slots` holds nested objects instead of a number. */
    private static String oddSpec(int round) {
        String unit = "{\"\":".repeat(DEPTH) + "{}" + "}".repeat(DEPTH);
        StringBuilder units = new StringBuilder(unit);
        while (units.length() + unit.length() + 1 < SPEC_BYTES) units.append(',').append(unit);
        return "{\"service\":\"booking-app\",\"seq\":" + round + ",\"slots\":[" + units + "]}";
    }
}
