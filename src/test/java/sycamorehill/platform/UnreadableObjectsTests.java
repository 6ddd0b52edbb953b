package sycamorehill.platform;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.model.log.LogLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how often objects that can't be read are logged.
 */
class UnreadableObjectsTests {

	private final List<LogLine> lines = new ArrayList<>();

	private final UnreadableObjects objects = UnreadableObjects.of(this.lines::add);

	private static IllegalArgumentException fault(String message) {
		return new IllegalArgumentException(message);
	}

	// Guards against a log that one object fills, which is read several times a second.
	@Test
	void anObjectThatStaysUnreadableIsLoggedOnce() {
		for (int reading = 0; reading < 100; reading++) {
			this.objects.report("nodes", "a", fault("x"));
			this.objects.report("nodes", "b", fault("x"));
			this.objects.reportNameless("nodes", fault("y"));
			this.objects.reportNameless("nodes", fault("z"));
		}
		assertThat(this.lines).hasSize(4);
	}

	@Test
	void anObjectIsLoggedAgainWhenItsFaultChangesOrComesBack() {
		this.objects.report("nodes", "a", fault("x"));
		this.objects.report("nodes", "a", fault("y"));
		this.objects.clear("nodes", "a");
		this.objects.report("nodes", "a", fault("y"));
		assertThat(this.lines).hasSize(3);
	}

	@Test
	void aLineShowsTheStartOfALongNameAndFault() {
		this.objects.report("nodes", "n".repeat(1024 * 1024), fault("x".repeat(1024 * 1024)));
		assertThat(this.lines.get(0).detail()).hasSizeLessThan(500).startsWith("kind=nodes name=nnn");
	}

}
