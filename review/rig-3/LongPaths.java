import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One client sends proper requests with long paths; ordinary callers of the same router wait for their answers. */
final class LongPaths {
    private static final int DEADLINE = 4_000;
    private static final int HOSTILE_CONNECTIONS = 20;

    /** Below max_header_bytes, which is 16,384. */
    private static final int PATH_BYTES = 16_000;

    public static void main(String[] arguments) {
        Rig.play(arguments[0], LongPaths::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.startStore();
        List<String> routes = List.of(Rig.route("history", "/history/", "idempotent", "booking-app", DEADLINE, 2));
        rig.put("config", "main", Rig.configuration(7, routes, List.of(Rig.service("booking-app", 0, 0))));
        String[] zones = {"fi-south-a", "fi-south-b", "fi-south-c"};
        for (String zone : zones) {
            rig.new Server("i-" + Rig.newId().substring(0, 8), "booking-app", zone, "v1", 6, (server, request, out) -> {
                Thread.sleep(20);
                out.answer(200, server.headers(request), "answer to " + request.id());
            }).start();
        }
        List<Rig.Router> routers = new ArrayList<>();
        for (String zone : zones) routers.add(rig.new Router("front-" + zone + "-1", zone));
        for (Rig.Router router : routers) router.start(routers);
        rig.awaitReady(routers);
        Thread.sleep(4_000);
        rig.log("traffic begins");

        AtomicInteger[] answered = counters(routers.size());
        AtomicInteger[] unanswered = counters(routers.size());
        AtomicInteger missedChecks = new AtomicInteger();
        AtomicInteger hostileAnswers = new AtomicInteger();
        long begin = rig.now();
        long hostileFrom = begin + 3_000;
        long hostileTo = hostileFrom + 15_000;
        long end = hostileTo + 2_000;
        List<Thread> callers = new ArrayList<>();
        for (int index = 0; index < routers.size(); index++) {
            for (int caller = 0; caller < 4; caller++) {
                int router = index;
                callers.add(thread(() -> {
                    while (rig.now() < end) {
                        boolean during = rig.now() >= hostileFrom && rig.now() < hostileTo - DEADLINE;
                        boolean good = ask(rig, routers.get(router));
                        if (during) (good ? answered : unanswered)[router].incrementAndGet();
                        Thread.sleep(200);
                    }
                }));
            }
        }
        callers.add(thread(() -> {
            int inTurn = 0;
            while (rig.now() < end) {
                boolean ready = routers.get(0).ready();
                inTurn = ready ? 0 : inTurn + 1;
                if (inTurn == 2) missedChecks.incrementAndGet();
                if (!ready) rig.log("no answer to the readiness check of " + routers.get(0).name);
                Thread.sleep(1_000);
            }
        }));
        for (int connection = 0; connection < HOSTILE_CONNECTIONS; connection++) {
            callers.add(thread(() -> {
                Thread.sleep(Math.max(0, hostileFrom - rig.now()));
                while (rig.now() < hostileTo) {
                    // An unknown path of many segments, or, without the trouble, of one segment of the same length.
                    String path = "/" + (Rig.TROUBLE ? "/" : "x").repeat(PATH_BYTES) + "x";
                    try (Rig.Client client = new Rig.Client(routers.get(0).port, 30_000)) {
                        while (rig.now() < hostileTo) {
                            client.send("GET", path, "Host: " + Rig.HOST + "\r\nX-Attempt-Id: " + Rig.newId() + "\r\n",
                                new byte[0]);
                            client.receive();
                            hostileAnswers.incrementAndGet();
                            Thread.sleep(100);
                        }
                    } catch (IOException closed) {
                        Thread.sleep(100);
                    }
                }
            }));
        }
        for (Thread caller : callers) caller.join();
        rig.log("answers to the client with long paths: " + hostileAnswers);
        for (int index = 0; index < routers.size(); index++) {
            rig.log(routers.get(index).name + " meanwhile: ordinary requests answered " + answered[index]
                + ", without an answer in " + DEADLINE + " ms " + unanswered[index]);
        }
        rig.log("readiness checks missed twice in a row: " + missedChecks);
        boolean broken = unanswered[0].get() > answered[0].get();
        rig.log(broken ? "BROKEN: most ordinary callers got no answer" : "held");
        return !broken;
    }

    /** Sends one ordinary request on a new connection; returns whether it was answered in time. */
    private static boolean ask(Rig rig, Rig.Router router) {
        String id = Rig.newId();
        long sentAt = rig.now();
        String result;
        boolean good = false;
        try (Rig.Client client = new Rig.Client(router.port, DEADLINE)) {
            client.send("GET", "/history/2f", Rig.clientHeaders(id, DEADLINE), new byte[0]);
            Rig.Reply reply = client.receive();
            good = rig.now() - sentAt <= DEADLINE;
            result = "answered " + reply.status;
        } catch (IOException failure) {
            result = "no answer: " + failure.getMessage();
        }
        rig.log("request " + id + " at " + router.name + " " + result + " after " + (rig.now() - sentAt) + " ms");
        return good;
    }

    private static AtomicInteger[] counters(int count) {
        AtomicInteger[] counters = new AtomicInteger[count];
        for (int index = 0; index < count; index++) counters[index] = new AtomicInteger();
        return counters;
    }

    private static Thread thread(Rig.Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
