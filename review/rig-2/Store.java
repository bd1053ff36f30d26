import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_048_576;
    static final int VALUE_BYTES = 1_048_576;

    private record Entry(String name, long revision, long created, String spec, String status) {
        String document() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
        }
    }

    private record Change(long revision, String kind, Entry before, Entry entry, boolean removed) {}

    private record Answer(int status, String body) {}

    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long oldest = 1;
    private long era;
    private final boolean namesEra;
    private HttpServer server;

    Store(boolean namesEra) {
        this.namesEra = namesEra;
        this.era = namesEra ? 1 : 0;
    }

    int start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Rig::daemon));
        server.createContext("/api/objects/", this::handle);
        server.start();
        return server.getAddress().getPort();
    }

    private void handle(HttpExchange call) throws IOException {
        byte[] body = call.getRequestBody().readAllBytes();
        Answer answer;
        try {
            answer = answer(call, new String(body, StandardCharsets.UTF_8));
        } catch (InterruptedException stopped) {
            answer = new Answer(503, "{}");
        } catch (RuntimeException bad) {
            answer = new Answer(400, "{}");
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        if (namesEra) {
            synchronized (this) {
                call.getResponseHeaders().set("Store-Era", Long.toString(era));
            }
        }
        call.sendResponseHeaders(answer.status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private Answer answer(HttpExchange call, String body) throws InterruptedException {
        String[] path = call.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
        Map<String, String> query = query(call.getRequestURI().getRawQuery());
        String kind = path[0];
        switch (call.getRequestMethod()) {
            case "GET":
                if (path.length > 1) {
                    Entry found = read(kind, path[1]);
                    return found == null ? new Answer(404, "{}") : new Answer(200, found.document());
                }
                if (query.containsKey("watch")) {
                    return watch(kind, Long.parseLong(query.get("watch")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")));
                }
                return list(kind, query.get("since_revision"));
            case "POST":
                return create(kind, Json.text(Json.member(Json.member(body, "metadata"), "name")), Json.member(body, "spec"));
            case "PUT":
                String expected = Json.member(Json.member(body, "metadata"), "revision");
                boolean status = path.length > 2 && path[2].equals("status");
                return replace(kind, path[1], expected == null ? 0 : Long.parseLong(expected),
                    status ? null : Json.member(body, "spec"), status ? Json.member(body, "status") : null);
            case "DELETE":
                return remove(kind, path[1]);
            default:
                return new Answer(405, "{}");
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> found = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                String[] parts = pair.split("=", 2);
                found.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return found;
    }

    private TreeMap<String, Entry> of(String kind) {
        return kinds.computeIfAbsent(kind, it -> new TreeMap<>());
    }

    private synchronized Entry read(String kind, String name) {
        return of(kind).get(name);
    }

    private synchronized Answer list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Entry entry : of(kind).values()) {
            if (after != null && entry.name.compareTo(after) <= 0) continue;
            String document = entry.document();
            if (count > 0 && (count >= PAGE_ITEMS || items.length() + document.length() > PAGE_BYTES)) {
                more = true;
                break;
            }
            items.append(count == 0 ? "" : ",").append(document);
            count += 1;
        }
        return new Answer(200, "{\"items\":[" + items + "],\"more_pages\":" + more + ",\"at\":" + revision + "}");
    }

    private synchronized Answer watch(String kind, long since, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        long sentIn = era;
        while (true) {
            if (since < oldest || since > revision || era != sentIn) return new Answer(410, "{}");
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.revision > since && change.kind.equals(kind)) {
                    events.append(events.length() == 0 ? "" : ",")
                        .append("{\"removed\":").append(change.removed)
                        .append(",\"object\":").append(change.entry.document()).append("}");
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return new Answer(200, "{\"events\":[" + events + "],\"at\":" + revision + "}");
            }
            wait(left);
        }
    }

    private Answer write(String kind, Entry before, Entry entry, boolean removed) {
        revision += 1;
        Entry written = new Entry(entry.name, revision, entry.created, entry.spec, entry.status);
        if (removed) of(kind).remove(entry.name); else of(kind).put(entry.name, written);
        history.add(new Change(revision, kind, before, written, removed));
        notifyAll();
        return new Answer(200, written.document());
    }

    synchronized Answer create(String kind, String name, String spec) {
        Entry known = of(kind).get(name);
        if (known != null) return new Answer(409, known.document());
        if (spec.length() > VALUE_BYTES) return new Answer(413, "{}");
        Answer done = write(kind, null, new Entry(name, 0, revision + 1, spec, "null"), false);
        return new Answer(201, done.body);
    }

    private synchronized Answer replace(String kind, String name, long expected, String spec, String status) {
        Entry known = of(kind).get(name);
        if (known == null) return new Answer(404, "{}");
        if (expected > 0 && expected != known.revision) return new Answer(409, known.document());
        Entry next = new Entry(name, 0, known.created, spec == null ? known.spec : spec, status == null ? known.status : status);
        if (next.spec.equals(known.spec) && next.status.equals(known.status)) return new Answer(200, known.document());
        return write(kind, known, next, false);
    }

    private synchronized Answer remove(String kind, String name) {
        Entry known = of(kind).get(name);
        return known == null ? new Answer(404, "{}") : write(kind, known, known, true);
    }

    /** What an operator or a server writes: creates or replaces; returns when the store has acknowledged it. */
    synchronized void put(String kind, String name, String spec) {
        if (of(kind).containsKey(name)) replace(kind, name, 0, spec, null); else create(kind, name, spec);
    }

    synchronized void delete(String kind, String name) {
        remove(kind, name);
    }

    synchronized long revision() {
        return revision;
    }

    /** Comes back from a copy of [copied], an earlier revision: what came later is lost. */
    synchronized void stepBack(long copied) {
        while (!history.isEmpty() && history.get(history.size() - 1).revision > copied) {
            Change change = history.remove(history.size() - 1);
            if (change.before == null) of(change.kind).remove(change.entry.name);
            else of(change.kind).put(change.entry.name, change.before);
        }
        revision = copied;
        era += 1;
        notifyAll();
    }
}
