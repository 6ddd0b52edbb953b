import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens, with the seconds since the start, to a file and to the output. */
final class Trace {

	private final long begun = System.nanoTime();

	private final PrintWriter file;

	Trace(Path path) throws IOException {
		this.file = new PrintWriter(Files.newBufferedWriter(path));
	}

	double seconds() {
		return (System.nanoTime() - this.begun) / 1e9;
	}

	synchronized void write(String text) {
		String line = String.format(Locale.ROOT, "%8.3f s  %s", seconds(), text);
		this.file.println(line);
		this.file.flush();
		System.out.println(line);
	}

}
