package sycamorehill.runtime;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests log lines about what other processes wrote.
 */
class LogTextTests {

	// Guards against log lines that a name or a value of another writer forges.
	@Test
	void aTextWithLineBreaksStaysOneLine() {
		assertThat(LogText.oneLine("a\r\nSYC-1001 b\u2028c\u0000"))
			.isEqualTo("a\\u000d\\u000aSYC-1001 b\\u2028c\\u0000");
	}

	// Guards against a log that one value of megabytes fills.
	@Test
	void aLongTextIsCutOff() {
		assertThat(LogText.oneLine("n".repeat(1024 * 1024))).hasSizeLessThan(LogText.MAXIMUM_CHARACTERS + 10);
	}

	@Test
	void anOrdinaryTextIsKept() {
		assertThat(LogText.oneLine("name=näher cause='x'")).isEqualTo("name=näher cause='x'");
	}

}
