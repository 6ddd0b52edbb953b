package sycamorehill.runtime;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the log when its output is not read or fails.
 */
class BoundedLogWriterTests {

	private static final Map<String, String> PROPERTIES = Map.of("format", "{level} {message}");

	private final SlowOutput output = new SlowOutput();

	private final BoundedLogWriter writer = new BoundedLogWriter(PROPERTIES, new PrintStream(this.output, true));

	private void log(Level level, String message) {
		this.writer.write(new LogEntry(null, null, null, null, null, null, -1, null, level, message, null));
	}

	// Whatever reads the log of a node has stopped: the lines must not fill the heap.
	@Test
	void linesThatNobodyReadsAreDroppedBeyondALimitAndCounted() {
		log(Level.INFO, "first");
		for (int number = 0; number < 100_000; number++) {
			log(Level.INFO, "line " + number);
		}
		log(Level.WARN, "a warning");
		assertThat(this.writer.waitingLines()).isLessThanOrEqualTo(BoundedLogWriter.MAXIMUM_WAITING_INFO_LINES + 1);
		for (int number = 0; number < 100_000; number++) {
			log(Level.ERROR, "error " + number);
		}
		assertThat(this.writer.waitingLines()).isLessThanOrEqualTo(BoundedLogWriter.MAXIMUM_WAITING_LINES);
		this.output.readable.countDown();
		this.writer.close();
		assertThat(this.output.text()).contains("INFO first", "WARN a warning")
			.containsPattern("WARN SYC-1013 LOG_LINES_DROPPED lines=\\d{6}");
	}

	// An error while a line is written must not end the log: without any line, nobody
	// learns why a node fails.
	@Test
	void linesAreWrittenAfterAnError() {
		this.output.failOnce = true;
		this.output.readable.countDown();
		log(Level.ERROR, "lost");
		while (this.output.failOnce) {
			Thread.onSpinWait();
		}
		log(Level.ERROR, "kept");
		this.writer.close();
		assertThat(this.output.text()).contains("ERROR kept", "lines=1");
	}

	/**
	 * Output that takes nothing until a test allows it.
	 */
	private static final class SlowOutput extends OutputStream {

		private final ByteArrayOutputStream written = new ByteArrayOutputStream();

		private final CountDownLatch readable = new CountDownLatch(1);

		private volatile boolean failOnce;

		@Override
		public void write(int value) {
			write(new byte[] { (byte) value }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int offset, int length) {
			try {
				this.readable.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			if (this.failOnce) {
				this.failOnce = false;
				throw new OutOfMemoryError("thrown by a test");
			}
			this.written.write(bytes, offset, length);
		}

		private String text() {
			return this.written.toString(StandardCharsets.UTF_8);
		}

	}

}
