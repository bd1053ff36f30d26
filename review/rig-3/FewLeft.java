import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Most machines are lost at once; then a server announces that it drains, serves on for a time, and exits. */
final class FewLeft {
    private static final int DEADLINE = 4_000;
    private static final int PER_ZONE = Integer.getInteger("perZone", 16);
    private static final int DRAIN_MS = 3_000;

    /** "a little longer (at times many seconds)" */
    private static final int SERVES_ON_MS = 1_500;
    private static final String[] ZONES = {"fi-south-a", "fi-south-b", "fi-south-c"};

    public static void main(String[] arguments) {
        Rig.play(arguments[0], FewLeft::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("booking", "/booking/", "non_idempotent", "booking-app", DEADLINE, 1));
        rig.put("config", "main", Rig.configuration(7, routes, List.of(Rig.service("booking-app", 0, 0))));
        Map<String, Long> sent = new ConcurrentHashMap<>();
        Map<String, Long> atLeaving = new ConcurrentHashMap<>();
        List<Rig.Server> booking = new ArrayList<>();
        for (String zone : ZONES) {
            String id = "i-" + Rig.newId().substring(0, 8);
            Rig.Server server = rig.new Server(id, "booking-app", zone, "v1", 6, (self, request, out) -> {
                if (self == booking.get(0)) atLeaving.put(request.id(), request.at);
                Thread.sleep(86);
                out.answer(200, self.headers(request), "answer to " + request.id());
            });
            booking.add(server);
            server.start();
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (int i = 0; i < PER_ZONE * ZONES.length; i++) {
            routers.add(rig.new Router("front-" + ZONES[i % 3] + "-" + (i / 3 + 1), ZONES[i % 3]));
        }
        for (Rig.Router router : routers) {
            router.start(routers);
            Thread.sleep(100);
        }
        rig.awaitReady(routers);
        Thread.sleep(15_000);
        List<Rig.Router> left = new ArrayList<>();
        Random random = new Random();
        left.add(routers.get(random.nextInt(routers.size())));
        rig.log("traffic begins at the one that will be left: " + left.stream().map(it -> it.name).toList());
        long end = rig.now() + 17_000;
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        Thread load = new Thread(() -> {
            int number = 0;
            while (rig.now() < end) {
                Rig.Router router = left.get(number++ % left.size());
                rig.background("call", () -> {
                    String id = Rig.newId();
                    sent.put(id, rig.now());
                    String result;
                    try (Rig.Client client = new Rig.Client(router.port, DEADLINE)) {
                        client.send("POST", "/booking/2f", Rig.clientHeaders(id, DEADLINE), "book".getBytes());
                        int status = client.receive().status;
                        result = "answered " + status;
                        (status == 200 ? answered : unanswered).incrementAndGet();
                    } catch (IOException lost) {
                        result = "no answer: " + lost.getMessage();
                        unanswered.incrementAndGet();
                    }
                    rig.log("request " + id + " at " + router.name + " " + result);
                });
                try {
                    Thread.sleep(20);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
        load.setDaemon(true);
        load.start();
        Thread.sleep(2_000);
        if (Rig.TROUBLE) {
            rig.log("all other machines are lost");
            for (Rig.Router router : routers) if (!left.contains(router)) router.process.destroyForcibly();
        }
        Thread.sleep(1_000);
        Rig.Server leaving = booking.get(0);
        leaving.state = "draining";
        leaving.beat();
        long acknowledgedAt = rig.now();
        rig.log("the store has acknowledged that " + leaving.id + " drains");
        Thread.sleep(DRAIN_MS + SERVES_ON_MS);
        rig.log(leaving.id + " exits");
        leaving.stop();
        rig.remove("servers", leaving.id);
        load.join();
        Thread.sleep(1_000);
        List<Long> late = new ArrayList<>();
        for (Map.Entry<String, Long> arrival : atLeaving.entrySet()) {
            Long sentAt = sent.get(arrival.getKey());
            if (sentAt != null && sentAt > acknowledgedAt + DRAIN_MS) late.add(sentAt - acknowledgedAt);
        }
        Collections.sort(late);
        rig.log("answered 200: " + answered + ", otherwise or not: " + unanswered);
        String last = late.isEmpty() ? "" : ", the last one after " + late.get(late.size() - 1) + " ms";
        rig.log("requests sent later than " + DRAIN_MS
            + " ms after the acknowledgement that reached the draining server: " + late.size() + last);
        rig.log(late.isEmpty() ? "held" : "BROKEN");
        return late.isEmpty();
    }
}
