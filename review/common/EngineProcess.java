import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Sound stand-in of an engine of a plain service: PROTOCOL.md, "Engines". Writes what it does to its output. */
final class EngineProcess {

	private static String id;

	private static int events;

	private static int pauseMillis;

	/** Bytes a second that an engine in trouble sends on all its connections; 0 for a sound engine. */
	private static int troubleBytesPerSecond;

	private EngineProcess() {
	}

	/**
	 * Arguments: id, port, number of events of a stream, pause between them in milliseconds, and for an engine in
	 * trouble the bytes a second that it sends without end.
	 */
	public static void main(String[] arguments) throws IOException {
		id = arguments[0];
		events = (arguments.length > 2) ? Integer.parseInt(arguments[2]) : 0;
		pauseMillis = (arguments.length > 3) ? Integer.parseInt(arguments[3]) : 0;
		troubleBytesPerSecond = (arguments.length > 4) ? Integer.parseInt(arguments[4]) : 0;
		ServerSocket listener = new ServerSocket();
		listener.setReuseAddress(true);
		listener.bind(new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[1])), 128);
		System.out.println("started");
		while (true) {
			Socket socket = listener.accept();
			socket.setTcpNoDelay(true);
			new Thread(() -> serve(socket)).start();
		}
	}

	private static void serve(Socket socket) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			OutputStream output = socket.getOutputStream();
			Map<String, String> head = readHead(input);
			while (head != null) {
				int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
				input.readNBytes(length);
				String attempt = head.getOrDefault("attempt-id", "");
				if (!id.equals(head.getOrDefault("expect-instance", id))) {
					write(output, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
							+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				}
				else if (head.get("").contains("/health")) {
					write(output, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
				}
				else if (head.get("").contains("/replies/")) {
					stream(output, attempt);
					return;
				}
				else if (troubleBytesPerSecond > 0) {
					sendWithoutEnd(output, attempt);
				}
				else {
					run(output, attempt, head.get(""));
				}
				head = readHead(input);
			}
		}
		catch (IOException | InterruptedException ex) {
			System.out.println("connection lost");
		}
	}

	// The stream has neither a length nor chunks and ends with its connection.
	private static void stream(OutputStream output, String attempt) throws IOException, InterruptedException {
		System.out.println("run " + attempt);
		write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + id + "." + attempt
				+ "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
		for (int number = 1; number <= events; number++) {
			write(output, "id: " + number + "\ndata: " + "token ".repeat(9) + number + "\n\n");
			System.out.println("event " + attempt + " " + number);
			Thread.sleep(pauseMillis);
		}
		System.out.println("done " + attempt);
	}

	// A body without end, in chunks of one byte.
	private static void sendWithoutEnd(OutputStream output, String attempt) throws IOException, InterruptedException {
		System.out.println("run " + attempt + " without end");
		write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + id + "." + attempt
				+ "\r\nTransfer-Encoding: chunked\r\n\r\n");
		byte[] block = "1\r\nx\r\n".repeat(2000).getBytes(StandardCharsets.ISO_8859_1);
		while (true) {
			takeBytes(block.length);
			output.write(block);
		}
	}

	private static long nextBlockNanos = System.nanoTime();

	private static void takeBytes(int count) throws InterruptedException {
		long wait;
		synchronized (EngineProcess.class) {
			long now = System.nanoTime();
			nextBlockNanos = Math.max(now - 20_000_000, nextBlockNanos) + count * 1_000_000_000L / troubleBytesPerSecond;
			wait = nextBlockNanos - now;
		}
		if (wait > 0) {
			Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
		}
	}

	private static void run(OutputStream output, String attempt, String line) throws IOException, InterruptedException {
		System.out.println("run " + attempt + " " + line);
		Thread.sleep(40);
		write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + id + "." + attempt
				+ "\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok");
		System.out.println("done " + attempt);
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		output.flush();
	}

	/** Reads a head; the request line stands under the empty name. Returns null at the end of the connection. */
	static Map<String, String> readHead(InputStream input) throws IOException {
		Map<String, String> head = new LinkedHashMap<>();
		String line = readLine(input);
		if (line == null) {
			return null;
		}
		head.put("", line);
		for (line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
			int colon = line.indexOf(':');
			head.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return head;
	}

	static String readLine(InputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				return null;
			}
			line.append((char) next);
		}
		int length = line.length();
		return (length > 0 && line.charAt(length - 1) == '\r') ? line.substring(0, length - 1) : line.toString();
	}

}
