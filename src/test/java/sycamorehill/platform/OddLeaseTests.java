package sycamorehill.platform;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a lease on the control of groups into which another writer wrote.
 */
class OddLeaseTests {

	private static final String SOUND = "{\"holder\":\"a#1\",\"term\":3,\"renewal\":40,\"recent_terms\":1}";

	private static LeaseAnswer read(String answer) throws Exception {
		try (ScriptedStore store = ScriptedStore.start((path) -> answer)) {
			return store.client().lease().read().get(20, TimeUnit.SECONDS);
		}
	}

	private static String object(String revision, String spec) {
		return "{\"metadata\":{\"name\":\"group-control\",\"rev\":" + revision + "},\"spec\":" + spec + '}';
	}

	@Test
	void theSoundLeaseIsReadByItselfAndInAConflict() throws Exception {
		LeaseAnswer sound = new LeaseAnswer.Present(new Lease("a#1", 3, 41, 1), false);
		assertThat(read(object("41", SOUND))).isEqualTo(sound);
		assertThat(read("{\"object\":" + object("41", SOUND) + '}')).isEqualTo(sound);
	}

	// Guards against groups that nobody ever controls again, and against a next holder
	// whose term is lower than one before.
	@Test
	void anUnreadableLeaseCanBeTakenOverWithAHigherTermThanAnyBefore() throws Exception {
		for (String odd : List.of("7", "null", "NaN", "\"\u00ff\"", "{}", SOUND.replace("3", "1e999"),
				SOUND.replace("3", "42"), SOUND.replace("3", "-3"), SOUND.replace("3", "9223372036854775807"),
				SOUND.replace("3", "1" + "0".repeat(400)), SOUND.replace("\"a#1\"", "7"),
				SOUND.replace("a#1", "a\\nSYC-1001"), SOUND.replace(":1}", ":-1}"),
				SOUND.replace(":1}", ":2147483648}"), SOUND.replace("40", "[".repeat(100_000) + "]".repeat(100_000)))) {
			LeaseAnswer answer = read(object("41", odd));
			assertThat(answer).as(odd.substring(0, Math.min(odd.length(), 100)))
				.isEqualTo(new LeaseAnswer.Present(new Lease(StoredLease.UNREADABLE_HOLDER, 41, 41), false));
		}
	}

	@Test
	void anAnswerWithoutAReadableRevisionIsAFailedCall() throws Exception {
		for (String revision : List.of("1e999", "\"41\"", "-1", "1" + "0".repeat(400))) {
			assertThat(read(object(revision, SOUND))).isInstanceOf(LeaseAnswer.Unavailable.class);
		}
		for (String answer : List.of("", "7", "{}", "[".repeat(100_000), "\u00ff")) {
			assertThat(read(answer)).isInstanceOf(LeaseAnswer.Unavailable.class);
		}
	}

}
