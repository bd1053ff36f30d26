import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, lists, watches, writes. */
final class Store {
    private static final int PAGE = 500;
    /** "4 ms an answer", for each of the small deployments. */
    private static final int ANSWER_MS = 4;

    private final ServerSocket listener = new ServerSocket();
    private final TreeMap<String, Map<String, Object>> objects = new TreeMap<>();
    private final List<Object[]> history = new ArrayList<>();
    private long revision = 1;

    Store(String host) throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        Rig.daemon("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Rig.daemon("store-connection", () -> serve(socket));
        }
    }

    /** Creates or replaces the spec of an object, as the operator and the servers do; returns the revision. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = objects.get(kind + "/" + name);
        Object status = known == null ? null : known.get("status");
        long created = known == null ? revision + 1 : (Long) meta(known).get("created");
        return write(kind, name, created, spec, status);
    }

    private long write(String kind, String name, long created, Object spec, Object status) {
        revision++;
        Map<String, Object> object = Json.of(
            "metadata", Json.of("name", name, "revision", revision, "created", created,
                "finalizers", new ArrayList<>(), "deleting", false),
            "spec", spec, "status", status);
        objects.put(kind + "/" + name, object);
        history.add(new Object[] {revision, kind, object, false});
        notifyAll();
        return revision;
    }

    /** Removes an object; returns the revision. */
    synchronized long remove(String kind, String name) {
        Map<String, Object> object = objects.remove(kind + "/" + name);
        if (object != null) {
            revision++;
            history.add(new Object[] {revision, kind, object, true});
            notifyAll();
        }
        return revision;
    }

    synchronized long revisionOf(String kind, String name) {
        return (Long) meta(objects.get(kind + "/" + name)).get("revision");
    }

    synchronized long revision() {
        return revision;
    }

    synchronized int count(String kind) {
        return of(kind, "").size();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> meta(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private List<Object> of(String kind, String after) {
        List<Object> found = new ArrayList<>();
        objects.tailMap(kind + "/" + after, false).forEach((key, object) -> {
            if (key.startsWith(kind + "/")) {
                found.add(object);
            }
        });
        return found;
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head = Http.readHead(in);
            while (head != null) {
                byte[] body = Http.readBody(in, head, false);
                Object[] answer = call(head.method(), head.target(), new String(body, StandardCharsets.UTF_8));
                byte[] bytes = answer[1] == null ? new byte[0] : Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer[0] + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
                head = Http.readHead(in);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private Object[] call(String method, String target, String body) throws InterruptedException {
        String[] halves = target.split("\\?", 2);
        String[] path = halves[0].replaceFirst("^/api/objects/", "").split("/");
        Map<String, String> query = new HashMap<>();
        if (halves.length > 1) {
            for (String pair : halves[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        for (int i = 0; i < path.length; i++) {
            path[i] = URLDecoder.decode(path[i], StandardCharsets.UTF_8);
        }
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(path[0], Long.parseLong(query.get("watch")),
                Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        Thread.sleep(ANSWER_MS);
        synchronized (this) {
            if (method.equals("GET") && path.length == 1) {
                List<Object> found = of(path[0], query.getOrDefault("since_revision", ""));
                return new Object[] {200, Json.of("items", found.subList(0, Math.min(PAGE, found.size())),
                    "more_pages", found.size() > PAGE, "at", revision)};
            }
            Map<String, Object> document = body.isEmpty() ? Json.of() : Json.object(body);
            @SuppressWarnings("unchecked")
            Map<String, Object> metadata = (Map<String, Object>) document.getOrDefault("metadata", Json.of());
            String name = path.length > 1 ? path[1] : (String) metadata.get("name");
            Map<String, Object> known = objects.get(path[0] + "/" + name);
            if (method.equals("GET")) {
                return known == null ? new Object[] {404, null} : new Object[] {200, known};
            }
            if (method.equals("POST")) {
                if (known != null) {
                    return new Object[] {409, known};
                }
                write(path[0], name, revision + 1, document.get("spec"), null);
                return new Object[] {200, objects.get(path[0] + "/" + name)};
            }
            if (known == null) {
                return new Object[] {404, null};
            }
            Object expected = query.containsKey("revision")
                ? Long.valueOf(query.get("revision")) : metadata.get("revision");
            if (expected != null && !expected.equals(meta(known).get("revision"))) {
                return new Object[] {409, known};
            }
            if (method.equals("DELETE")) {
                remove(path[0], name);
                return new Object[] {200, known};
            }
            boolean status = path.length > 2;
            write(path[0], name, (Long) meta(known).get("created"),
                status ? known.get("spec") : document.get("spec"),
                status ? document.get("status") : known.get("status"));
            return new Object[] {200, objects.get(path[0] + "/" + name)};
        }
    }

    private synchronized Object[] watch(String kind, long since, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        List<Object> events = events(kind, since);
        long left = (end - System.nanoTime()) / 1_000_000;
        while (events.isEmpty() && left > 0) {
            wait(left);
            events = events(kind, since);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        if (!events.isEmpty()) {
            long answerAt = System.nanoTime() + ANSWER_MS * 1_000_000L;
            for (long rest = ANSWER_MS; rest > 0; rest = (answerAt - System.nanoTime()) / 1_000_000) {
                wait(rest);
            }
            events = events(kind, since);
        }
        return new Object[] {200, Json.of("events", events, "at", revision)};
    }

    private List<Object> events(String kind, long since) {
        List<Object> events = new ArrayList<>();
        for (Object[] change : history) {
            if ((Long) change[0] > since && change[1].equals(kind)) {
                events.add(Json.of("removed", change[3], "object", change[2]));
            }
        }
        return events;
    }
}
