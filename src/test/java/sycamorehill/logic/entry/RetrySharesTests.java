package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.model.serving.EntrySettings;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a node has a share of the retries of all nodes, and how large it is.
 */
class RetrySharesTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	/** A window of 10 s, and the time for the last retries to arrive. */
	private static final Duration WAIT = Duration.ofSeconds(11);

	private static final Duration MAXIMUM_LIST_AGE = Duration.ofSeconds(15);

	private static final EntrySettings SETTINGS = ServingSamples.settings("b");

	private final RegisteredNodes nodes = RegisteredNodes.of("b");

	private final RetryShares shares = RetryShares.of(SETTINGS, this.nodes);

	private int share(Duration since) {
		return this.shares.share(START.plus(since)).retries();
	}

	private int dividedBy(Duration since) {
		return this.shares.share(START.plus(since)).nodes();
	}

	@Test
	void aNodeThatNoOtherCountsHasNoShare() {
		assertThat(share(WAIT)).isZero();
		this.nodes.handleList(Set.of("a", "b", "c"), START);
		this.nodes.handleConfirmation("a", START);
		assertThat(share(Duration.ofMinutes(2))).isZero();
		assertThat(this.shares.share(START).unconfirmedNodes()).isEqualTo(1);
	}

	@Test
	void aNodeHasItsShareAWindowAfterAllOthersCountIt() {
		this.nodes.handleList(Set.of("a", "b", "c"), START);
		this.nodes.handleConfirmation("a", START);
		this.nodes.handleConfirmation("c", START.plusSeconds(4));
		assertThat(share(WAIT.plusSeconds(4).minusMillis(1))).isZero();
		assertThat(share(WAIT.plusSeconds(4))).isEqualTo(20);
	}

	// The list was read before that node registered: it finds this one in its own list.
	@Test
	void aNodeThatRegistersLaterNeedNotConfirm() {
		this.nodes.handleIntroduction("c", START.minusMillis(10));
		this.nodes.handleList(Set.of("b"), START);
		this.nodes.handleIntroduction("d", START.plusMillis(10));
		assertThat(share(WAIT)).isEqualTo(20);
		assertThat(dividedBy(WAIT)).isEqualTo(3);
	}

	@Test
	void aNodeThatIntroducesItselfIsCountedAtOnce() {
		this.nodes.handleList(Set.of("b"), START);
		assertThat(share(WAIT)).isEqualTo(60);
		this.nodes.handleIntroduction("a", START.plus(WAIT));
		assertThat(share(WAIT)).isEqualTo(30);
	}

	// The store may return a list from a copy that is older than the registration.
	@Test
	void aNodeThatAnOldListLacksIsCounted() {
		this.nodes.handleList(Set.of("b"), START);
		this.nodes.handleIntroduction("a", START);
		this.nodes.handleList(Set.of("b"), START.plus(MAXIMUM_LIST_AGE).minusMillis(1));
		assertThat(dividedBy(Duration.ofHours(1))).isEqualTo(2);
	}

	// The other node has lost its VM, and its entry stays in the store. Were it only
	// partitioned, it would have read a list with this node meanwhile, or use no share.
	@Test
	void aNodeThatNeverConfirmsIsNotWaitedForLongerThanItMayUseItsShare() {
		Duration longest = Duration.ofSeconds(135);
		for (int seconds = 0; seconds < 160; seconds += 20) {
			this.nodes.handleList(Set.of("a", "b"), START.plusSeconds(seconds));
		}
		assertThat(share(longest.plus(WAIT).minusMillis(1))).isZero();
		assertThat(share(longest.plus(WAIT))).isEqualTo(30);
	}

	// Behind a partition from the store, a node would not learn of those that register.
	@Test
	void aNodeThatReadsNoListsGivesItsShareUp() {
		this.nodes.handleList(Set.of("b"), START);
		assertThat(share(Duration.ofMinutes(2).minusMillis(1))).isEqualTo(60);
		assertThat(share(Duration.ofMinutes(2))).isZero();
		this.nodes.handleList(Set.of("a"), START.plus(Duration.ofMinutes(3)));
		assertThat(share(Duration.ofMinutes(3))).as("the list lacks this node").isZero();
		this.nodes.handleList(Set.of("a", "b"), START.plus(Duration.ofMinutes(4)));
		assertThat(share(Duration.ofMinutes(4))).isEqualTo(30);
	}

	@Test
	void aNodeThatHasDeregisteredIsCountedForAnotherWindow() {
		this.nodes.handleList(Set.of("a", "b"), START);
		this.nodes.handleConfirmation("a", START);
		this.nodes.handleList(Set.of("b"), START.plus(MAXIMUM_LIST_AGE));
		assertThat(dividedBy(MAXIMUM_LIST_AGE.plus(WAIT))).isEqualTo(2);
		assertThat(dividedBy(MAXIMUM_LIST_AGE.plus(WAIT).plusMillis(1))).isEqualTo(1);
	}

	@Test
	void aNodeWhoseOnlyUnconfirmedPeerDeregistersGetsItsShare() {
		this.nodes.handleList(Set.of("a", "b"), START);
		this.nodes.handleList(Set.of("b"), START.plus(MAXIMUM_LIST_AGE));
		assertThat(share(MAXIMUM_LIST_AGE.plus(WAIT))).isEqualTo(30);
	}

	@Test
	void aStoppingNodeHasNoShare() {
		this.nodes.handleList(Set.of("b"), START);
		this.shares.stop();
		assertThat(share(WAIT)).isZero();
	}

	// A share of less than one retry is of no use to a node that has few requests.
	@ParameterizedTest
	@CsvSource({ "1", "5", "9", "59", "60", "61", "300" })
	void allRetriesAreDealtInWholeNumbers(int number) {
		Set<String> names = IntStream.range(0, number)
			.mapToObj((node) -> "n" + node)
			.collect(Collectors.toCollection(TreeSet::new));
		List<Integer> dealt = new ArrayList<>();
		for (String name : names) {
			RegisteredNodes registered = RegisteredNodes.of(name);
			registered.handleList(names, START);
			names.forEach((other) -> registered.handleConfirmation(other, START));
			dealt.add(RetryShares.of(ServingSamples.settings(name), registered).share(START.plus(WAIT)).retries());
		}
		assertThat(dealt.stream().mapToInt(Integer::intValue).sum()).isEqualTo(60);
		assertThat(dealt).allMatch((retries) -> retries == 60 / number || retries == 60 / number + 1);
	}

	@Test
	void aNodeIntroducesItselfOnceASecondUntilItIsConfirmed() {
		assertThat(this.nodes.takeDueIntroductions(START)).isEmpty();
		this.nodes.handleList(Set.of("a", "b", "c"), START);
		assertThat(this.nodes.takeDueIntroductions(START)).containsExactlyInAnyOrder("a", "c");
		assertThat(this.nodes.takeDueIntroductions(START.plusMillis(999))).isEmpty();
		this.nodes.handleConfirmation("a", START.plusMillis(999));
		assertThat(this.nodes.takeDueIntroductions(START.plusSeconds(1))).containsExactly("c");
		assertThat(this.nodes.takeDueIntroductions(START.plusSeconds(134))).containsExactly("c");
		assertThat(this.nodes.takeDueIntroductions(START.plusSeconds(136))).isEmpty();
	}

}
