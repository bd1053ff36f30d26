import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one connection, which it keeps until the router closes it. */
final class Client implements AutoCloseable {
    /** What a client saw of one request. */
    static final class Answer {
        int status;
        String seal;
        String retryAfter;
        byte[] body;
        Http.Head head;
        /** Why there is no answer; null if there is one. */
        String failure;

        @Override
        public String toString() {
            return failure != null ? "no-answer (" + failure + ")" : status + " " + body.length + "B"
                + (seal == null ? " unsealed" : " sealed");
        }
    }

    private final Rig.Router router;
    private Socket socket;
    private BufferedInputStream in;

    Client(Rig.Router router) {
        this.router = router;
    }

    /** Sends one request and reads its answer, for at most [deadlineMs] and a second. */
    Answer send(String method, String path, String id, int deadlineMs, String headers, byte[] body) {
        Answer answer = new Answer();
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(router.ip, router.front), 1_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMs + 1_000);
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + headers
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                out.write(body);
            }
            out.flush();
            Http.Head head = Http.readHead(in);
            if (head == null) {
                throw new IOException("closed");
            }
            answer.head = head;
            answer.body = Http.readBody(in, head, true);
            answer.status = head.status();
            answer.seal = head.headers.get("X-Response-Seal");
            answer.retryAfter = head.headers.get("Retry-After");
            if ("close".equalsIgnoreCase(head.headers.get("Connection"))) {
                close();
            }
        } catch (IOException | RuntimeException failed) {
            answer.failure = failed.getClass().getSimpleName() + ": " + failed.getMessage();
            close();
        }
        return answer;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException ignored) {
            // It is closed all the same.
        }
        socket = null;
    }
}
