import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** HTTP/1.1 on loopback: servers with a thread for each connection, and a client. */
final class Http {
    private Http() {
    }

    static final class Request {
        String method;
        String path;
        Map<String, String> query = new HashMap<>();
        String body;
        /** The controller that the connection comes from; null if it comes from none. */
        String from;
    }

    static final class Response {
        final int status;
        final String body;

        Response(int status, String body) {
            this.status = status;
            this.body = body;
        }

        Response(int status, Object json) {
            this(status, Json.text(json));
        }
    }

    interface Handler {
        /** Null: no answer; the connection is closed. */
        Response handle(Request request) throws Exception;
    }

    /** A free port for a process that binds it later: one that no outgoing connection is given meanwhile. */
    static int freePort() throws IOException {
        while (true) {
            int port = 12_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(18_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return s.getLocalPort();
            } catch (java.net.BindException e) {
                // It is in use: try another one.
            }
        }
    }

    /** Serves requests. While {@code cut} is true, nothing on this server is answered, and then connections are closed. */
    static final class Server {
        final ServerSocket socket;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile boolean closed;

        Server(Handler handler, Owners owners, java.util.function.Predicate<String> isCut) throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            World.thread("accept", () -> {
                while (!closed) {
                    Socket c;
                    try {
                        c = socket.accept();
                    } catch (IOException e) {
                        return;
                    }
                    open.add(c);
                    World.thread("serve", () -> {
                        try {
                            c.setTcpNoDelay(true);
                            String from = owners == null ? null : owners.ownerOf(c.getPort());
                            InputStream in = new BufferedInputStream(c.getInputStream());
                            while (true) {
                                Request r = readRequest(in);
                                r.from = from;
                                if (isCut != null && isCut.test(from)) {
                                    while (isCut.test(from) && !closed) Thread.sleep(50);
                                    return;
                                }
                                Response a = handler.handle(r);
                                if (a == null) return;
                                if (isCut != null && isCut.test(from)) {
                                    while (isCut.test(from) && !closed) Thread.sleep(50);
                                    return;
                                }
                                write(c, a);
                            }
                        } catch (IOException e) {
                            // The other side has closed the connection.
                        } finally {
                            open.remove(c);
                            Http.close(c);
                        }
                    });
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        String addr() {
            return "127.0.0.1:" + port();
        }

        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed anyway.
            }
            for (Socket c : open) Http.close(c);
        }
    }

    static void close(Socket c) {
        try {
            c.close();
        } catch (IOException e) {
            // It is closed anyway.
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) throw new EOFException();
            if (c == '\n') break;
            if (c != '\r') b.write(c);
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] body(InputStream in, Map<String, String> head) throws IOException {
        int n = Integer.parseInt(head.getOrDefault("content-length", "0"));
        byte[] b = in.readNBytes(n);
        if (b.length < n) throw new EOFException();
        return b;
    }

    private static Map<String, String> head(InputStream in) throws IOException {
        Map<String, String> head = new HashMap<>();
        while (true) {
            String l = line(in);
            if (l.isEmpty()) return head;
            int colon = l.indexOf(':');
            head.put(l.substring(0, colon).toLowerCase(), l.substring(colon + 1).trim());
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String[] start = line(in).split(" ");
        Request r = new Request();
        r.method = start[0];
        int q = start[1].indexOf('?');
        r.path = q < 0 ? start[1] : start[1].substring(0, q);
        if (q >= 0) {
            for (String p : start[1].substring(q + 1).split("&")) {
                int eq = p.indexOf('=');
                r.query.put(p.substring(0, eq), java.net.URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        r.body = new String(body(in, head(in)), StandardCharsets.UTF_8);
        return r;
    }

    private static void write(Socket c, Response a) throws IOException {
        byte[] b = a.body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + a.status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + b.length + "\r\n\r\n";
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[h.length + b.length];
        System.arraycopy(h, 0, all, 0, h.length);
        System.arraycopy(b, 0, all, h.length, b.length);
        c.getOutputStream().write(all);
        c.getOutputStream().flush();
    }

    /** A client with at most one open connection. */
    static final class Client {
        private Socket socket;
        private InputStream in;
        private String addr;

        /** Returns the answer, or null if there was none within the time. */
        synchronized Response call(String addr, String method, String target, String body, int timeoutMs) {
            boolean reused = socket != null && addr.equals(this.addr);
            Response r = once(addr, method, target, body, timeoutMs);
            // A connection that the server had closed while it was idle: the request was not read.
            if (r == null && reused && closedByServer) r = once(addr, method, target, body, timeoutMs);
            return r;
        }

        private boolean closedByServer;

        private Response once(String addr, String method, String target, String body, int timeoutMs) {
            closedByServer = false;
            long end = System.nanoTime() + timeoutMs * 1_000_000L;
            try {
                if (socket == null || !addr.equals(this.addr)) {
                    disconnect();
                    int colon = addr.lastIndexOf(':');
                    Socket s = new Socket();
                    s.connect(new InetSocketAddress(addr.substring(0, colon), Integer.parseInt(addr.substring(colon + 1))), timeoutMs);
                    s.setTcpNoDelay(true);
                    socket = s;
                    in = new BufferedInputStream(s.getInputStream());
                    this.addr = addr;
                }
                byte[] b = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + target + " HTTP/1.1\r\nHost: " + addr + "\r\nContent-Length: " + b.length + "\r\n\r\n";
                byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = new byte[h.length + b.length];
                System.arraycopy(h, 0, all, 0, h.length);
                System.arraycopy(b, 0, all, h.length, b.length);
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                try {
                    socket.getOutputStream().write(all);
                    String start = line(in);
                    Map<String, String> fields = head(in);
                    String text = new String(body(in, fields), StandardCharsets.UTF_8);
                    if ("close".equalsIgnoreCase(fields.get("connection"))) disconnect();
                    return new Response(Integer.parseInt(start.split(" ")[1]), text);
                } catch (java.net.SocketTimeoutException e) {
                    throw e;
                } catch (IOException e) {
                    closedByServer = true;
                    throw e;
                }
            } catch (IOException e) {
                disconnect();
                return null;
            }
        }

        synchronized void disconnect() {
            if (socket != null) Http.close(socket);
            socket = null;
        }
    }

    /** Forwards connections to an address. While cut, no byte is forwarded; afterwards these connections are closed. */
    static final class Proxy {
        final ServerSocket socket;

        Proxy(String target, BooleanSupplier isCut) throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            World.thread("proxy", () -> {
                while (true) {
                    Socket c;
                    try {
                        c = socket.accept();
                    } catch (IOException e) {
                        return;
                    }
                    World.thread("proxied", () -> {
                        Socket t = new Socket();
                        try {
                            while (isCut.getAsBoolean()) Thread.sleep(20);
                            int colon = target.lastIndexOf(':');
                            t.connect(new InetSocketAddress("127.0.0.1", Integer.parseInt(target.substring(colon + 1))), 2000);
                            c.setTcpNoDelay(true);
                            t.setTcpNoDelay(true);
                            World.thread("copy", () -> copy(t, c, isCut));
                            copy(c, t, isCut);
                        } catch (IOException e) {
                            Http.close(c);
                            Http.close(t);
                        }
                    });
                }
            });
        }

        private static void copy(Socket from, Socket to, BooleanSupplier isCut) {
            try {
                byte[] b = new byte[65536];
                while (true) {
                    int n = from.getInputStream().read(b);
                    if (n < 0) break;
                    if (isCut.getAsBoolean()) {
                        while (isCut.getAsBoolean()) Thread.sleep(20);
                        break;
                    }
                    to.getOutputStream().write(b, 0, n);
                }
            } catch (IOException | InterruptedException e) {
                // One side is closed; the other one follows.
            }
            Http.close(from);
            Http.close(to);
        }

        String addr() {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Finds out which controller process has opened a connection, by its local port. */
    static final class Owners {
        private final Map<String, Long> pids = new ConcurrentHashMap<>();

        void put(String host, long pid) {
            pids.put(host, pid);
        }

        String ownerOf(int port) {
            try {
                String hex = String.format(":%04X", port);
                String inode = null;
                for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
                    if (!Files.exists(Path.of(file))) continue;
                    for (String l : Files.readAllLines(Path.of(file))) {
                        String[] f = l.trim().split(" +");
                        if (f.length > 9 && f[1].endsWith(hex) && !f[9].equals("0")) inode = f[9];
                    }
                }
                if (inode == null) return null;
                String link = "socket:[" + inode + "]";
                for (Map.Entry<String, Long> e : pids.entrySet()) {
                    try (Stream<Path> fds = Files.list(Path.of("/proc/" + e.getValue() + "/fd"))) {
                        if (fds.anyMatch(p -> {
                            try {
                                return Files.readSymbolicLink(p).toString().equals(link);
                            } catch (IOException x) {
                                return false;
                            }
                        })) return e.getKey();
                    } catch (IOException x) {
                        // The process has ended.
                    }
                }
            } catch (IOException e) {
                return null;
            }
            return null;
        }
    }
}
