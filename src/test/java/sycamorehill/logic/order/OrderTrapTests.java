package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;

import sycamorehill.json.ModelJson;
import sycamorehill.logic.order.OrderHistory.Call;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderClaimDecision;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Each way in which an order could run twice, or be refused for ever.
 */
class OrderTrapTests {

	private static final OrderKey KEY = new OrderKey(1, 1);

	private OrderHistory history = new OrderHistory(1, 3, Policies.shards(1));

	@AfterEach
	void noPromiseIsBroken() {
		Assertions.assertThat(OrderHistoryChecker.check(this.history)).isEmpty();
	}

	@Test
	void secondCallHearsTheRecordedAnswer() {
		call(1);
		pass(3);
		Call second = call(2);
		pass(3);
		Assertions.assertThat(second.outcome())
			.contains(new RequestOutcome.Replayed(this.history.runs.get(0).answer()));
	}

	@Test
	void sameKeyWithOtherContentIsRefused() {
		call(1);
		pass(3);
		Call second = this.history.call(node(2), KEY, "other content");
		pass(3);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.KEY_REUSED);
	}

	@Test
	void secondCallWhileTheFirstRunsIsNotToldNotRun() {
		// The caller times out and calls again through another node while the first call
		// still runs. "Not run" would make it place the order anew: two vans would leave.
		Call first = call(1);
		until(() -> first.cleared == 1);
		Call second = call(2);
		until(() -> second.outcome().isPresent());
		Assertions.assertThat(second.outcome().get()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.STILL_RUNNING);
		pass(3);
	}

	@Test
	void claimWhoseAnswerWasLostIsStillOnesOwn() {
		// The platform writes the claim and its answer is lost. Read back, the key is
		// claimed: taken for another's claim, the order would be refused though
		// nobody runs it. The mark tells that it is one's own.
		call(1);
		pass(3);
		OrderKey key = new OrderKey(1, 2);
		this.history.platform.faults(0, 1, 0);
		Call call = this.history.call(node(1), key, "a");
		pass(0.5);
		this.history.platform.faults(0, 0, 0);
		pass(5);
		Assertions.assertThat(call.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void claimThatTookEffectAfterNotRunIsReleased() {
		// The write of a claim hangs in the network, the caller hears "not run", and
		// then the write takes effect. Unless it is released, every later try of the
		// caller hears "still running", for ever.
		call(1);
		pass(3);
		OrderKey key = new OrderKey(1, 2);
		this.history.platform.faults(0, 0, 1);
		Call refused = this.history.call(node(1), key, "a");
		pass(2.5);
		this.history.platform.faults(0, 0, 0);
		pass(10);
		Assertions.assertThat(refusal(refused).reason()).isEqualTo(RefusalReason.ORDER_STORE_UNAVAILABLE);
		Call next = this.history.call(node(2), key, "a");
		pass(5);
		Assertions.assertThat(next.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void claimThatItsHolderDoesNotKnowIsReleased() {
		// A claim took effect long after its caller heard "not run", and the grant
		// was lost: nobody knows of it. The caller's next call hears "still running";
		// the one after that must run, or the key would be refused for ever.
		OrderClaim forgotten = new OrderClaim(KEY, new Fingerprint("a"), node(1).incarnation(), "n1-1-r99",
				OrderStatus.CLAIMED, Optional.empty(), 0);
		put(new OrderShard(0, 1, false, HashTreePMap.singleton(KEY, forgotten), "w1"));
		call(2);
		pass(5);
		Call next = call(2);
		pass(3);
		Assertions.assertThat(next.outcome()).contains(new RequestOutcome.Completed());
	}

	@Test
	void orderOfAHolderThatDiedBeforeSendingIsNeverRunAgain() {
		// The node dies after its claim is granted. Nobody can tell whether it had
		// sent the order, so the caller's next call hears "unknown".
		Call first = call(1);
		until(() -> first.cleared == 1);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::see);
		Call second = call(2);
		pass(5);
		Assertions.assertThat(refusal(second).reason()).isEqualTo(RefusalReason.TARGET_LOST);
		Assertions.assertThat(this.history.runs).isEmpty();
	}

	@Test
	void orderOfAHolderThatDiedBeforeRecordingIsNeverRunAgain() {
		// The target has run the order; the node dies before it has the answer written
		// down.
		call(1);
		until(() -> this.history.runs.size() == 1);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::see);
		Call second = call(1);
		pass(5);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(this.history.runs).hasSize(1);
	}

	@Test
	void grantThatReachesARestartedNodeDoesNotReleaseTheClaim() {
		// A node dies after its order ran. A late copy of its grant reaches the
		// restarted node, to which it looks like a grant for a call that was given
		// up. Released, the key would be free for a second run.
		Call first = call(1);
		until(() -> this.history.runs.size() == 1);
		String mark = first.request.identifier().toString();
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::see);
		this.history.feed(node(1), new PeerEvent.MessageReceived(keeper().identity(),
				new OrderClaimReply(KEY, mark, OrderClaimDecision.GRANTED, Optional.empty())));
		pass(5);
		Call second = call(2);
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
		Assertions.assertThat(this.history.runs).hasSize(1);
	}

	@Test
	void answerThatIsTooLargeIsNotKept() {
		this.history.answerText = "x".repeat(OrderPolicy.standard().largestAnswer());
		call(1);
		pass(3);
		Call second = call(2);
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void settlementIsNotConfirmedByAKeeperThatHasNotSeenTheClaim() {
		// A node that can't reach the keeper commits a claim itself and runs the
		// order. Its settlement then goes to the keeper, whose view lacks the claim.
		// Confirmed unseen, the answer would be lost and the claim would look given
		// up: a second run.
		OrderNode keeper = keeper();
		OrderNode other = this.history.nodes.stream().filter((node) -> node != keeper).findFirst().orElseThrow();
		this.history.call(keeper, new OrderKey(1, 2), "a");
		pass(3);
		other.see(List.of(other.identity()));
		Call first = this.history.call(other, KEY, "a");
		until(() -> first.cleared == 1);
		this.history.see(other);
		pass(4);
		Call second = this.history.call(keeper, KEY, "a");
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void keeperThatWasPausedLooksBeforeItWrites() {
		// A keeper knows page 1 and is paused for longer than keys are remembered. Page 2
		// has been written, has expired and been deleted; page 3 holds the key. Creating
		// page 2 anew would succeed and grant the key a second time.
		OrderClaim recorded = recorded(new OrderKey(1, 2));
		put(new OrderShard(0, 1, true, HashTreePMap.singleton(recorded.key(), recorded), "w1"));
		OrderNode keeper = keeper();
		this.history.call(keeper, recorded.key(), "a");
		pass(1);
		Assertions.assertThat(keeper.state().shards()).hasSize(1);
		keeper.pause();
		put(new OrderShard(0, 3, false, HashTreePMap.singleton(KEY, recorded(KEY)), "w3"));
		pass(120);
		keeper.run(keeper.incarnation(), () -> this.history.call(keeper, KEY, "a"));
		this.history.resume(keeper);
		pass(5);
		Assertions.assertThat(this.history.runs).isEmpty();
		// The key's run lies before this history, which the checker can't know.
		this.history = new OrderHistory(1, 1, Policies.shards(1));
	}

	@Test
	void releaseReachesAPausedKeeperThoughTheHolderDies() {
		// A keeper is paused with a claim in its queue. The caller hears "not run",
		// the release is sent at once, and then the node dies. Without the release
		// the claim would belong to a dead node, and the caller's next call would
		// hear "unknown" for an order that never ran.
		Assertions.assertThat(nextCallAfterAPause(0)).contains(new RequestOutcome.Completed());
	}

	@Test
	void claimOfACallThatGaveUpIsNotCommittedAfterAPause() {
		// The same, but the release is lost with the node. The keeper itself must see
		// that the claim in its queue is older than any caller waits.
		Assertions.assertThat(nextCallAfterAPause(1)).contains(new RequestOutcome.Completed());
	}

	private Optional<RequestOutcome> nextCallAfterAPause(double releaseLost) {
		OrderNode keeper = keeper();
		OrderNode holder = this.history.nodes.stream().filter((node) -> node != keeper).findFirst().orElseThrow();
		this.history.platform.down(true);
		this.history.call(holder, KEY, "a");
		pass(0.3);
		keeper.pause();
		this.history.faults.messageLost = releaseLost;
		pass(4);
		this.history.restart(holder);
		this.history.faults.none();
		this.history.platform.down(false);
		this.history.resume(keeper);
		this.history.nodes.forEach(this.history::see);
		pass(8);
		Call next = this.history.call(holder, KEY, "a");
		pass(5);
		return next.outcome();
	}

	@Test
	void fullShardRefusesAsNotRun() {
		this.history = new OrderHistory(1, 3, Policies.of(1, Duration.ofHours(6), 5));
		List<Call> calls = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			calls.add(this.history.call(node(1), new OrderKey(1, i), "a"));
			pass(1);
		}
		Assertions.assertThat(this.history.runs).hasSize(5);
		Assertions.assertThat(refusal(calls.get(7)).reason()).isEqualTo(RefusalReason.ORDER_STORE_UNAVAILABLE);
	}

	@Test
	void largeAnswersNeverMakeAnObjectNearAMegabyte() throws JsonProcessingException {
		this.history.answerText = "\u0001".repeat(OrderPolicy.standard().largestAnswer() - 10);
		for (int i = 0; i < 300; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		pass(30);
		Assertions.assertThat(this.history.runs).hasSize(300);
		for (StoredObject page : pages()) {
			Assertions.assertThat(ModelJson.json().writeValueAsBytes(page.value())).hasSizeLessThan(900 * 1024);
		}
	}

	@Test
	void wrongWallClockDoesNotMakeAKeyForgotten() {
		// The nodes' wall clocks differ by hours, more than keys are remembered. A
		// key that expired by another node's clock would be free for a second run.
		this.history = new OrderHistory(1, 3, Policies.of(1, Duration.ofMinutes(30), 20_000));
		this.history.answerText = "x".repeat(8000);
		for (int i = 0; i < 20; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		pass(25 * 60);
		Call second = this.history.call(node(3), new OrderKey(1, 0), "a");
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void expiredPagesAreDeleted() {
		this.history = new OrderHistory(1, 3, Policies.of(1, Duration.ofMinutes(30), 20_000));
		this.history.answerText = "x".repeat(8000);
		for (int i = 0; i < 20; i++) {
			this.history.call(node(1 + i % 3), new OrderKey(1, i), "a");
		}
		pass(60);
		Assertions.assertThat(pages()).hasSizeGreaterThan(2);
		pass(40 * 60);
		Assertions.assertThat(pages()).hasSize(1);
	}

	@Test
	void issuedNumberIsServedWhileThePlatformIsDown() {
		this.history.platform.down(true);
		OrderKey issued = issuedBy(node(1));
		Call first = this.history.call(node(2), issued, "a");
		pass(3);
		Call second = this.history.call(node(3), issued, "a");
		pass(3);
		Assertions.assertThat(first.outcome()).contains(new RequestOutcome.Completed());
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Replayed.class);
	}

	@Test
	void issuedNumberOfADeadNodeIsNeverGranted() {
		// The issuer kept the claim in its memory and has died with it: any other
		// node that granted the number could run the order a second time.
		OrderKey issued = issuedBy(node(1));
		this.history.call(node(2), issued, "a");
		pass(3);
		this.history.restart(node(1));
		this.history.nodes.forEach(this.history::see);
		Call second = this.history.call(node(2), issued, "a");
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void issuedNumberIsNotGrantedOnceItsClaimMayBeForgotten() {
		OrderKey issued = issuedBy(node(1));
		this.history.call(node(2), issued, "a");
		pass(2 * 60 * 60);
		Assertions.assertThat(node(1).state().issued()).isEmpty();
		Call second = this.history.call(node(2), issued, "a");
		pass(3);
		Assertions.assertThat(second.outcome().orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	private Call call(int node) {
		return this.history.call(node(node), KEY, "a");
	}

	private OrderNode node(int number) {
		return this.history.nodes.get(number - 1);
	}

	private OrderNode keeper() {
		OrderNode any = node(1);
		List<OrderNode> nodes = this.history.nodes;
		return nodes.stream().filter((node) -> any.keeperOf(0).equals(node.identity())).findFirst().orElseThrow();
	}

	private OrderKey issuedBy(OrderNode node) {
		Instant clock = node.clock(this.history.now());
		return OrderNumbers.encodeOrigin(KEY, OrderNumbers.issue(node.incarnation(), clock, 7));
	}

	private void pass(double seconds) {
		this.history.runFor(Duration.ofMillis((long) (seconds * 1000)));
	}

	private void until(BooleanSupplier condition) {
		for (int i = 0; i < 10_000 && !condition.getAsBoolean(); i++) {
			this.history.runFor(Duration.ofMillis(1));
		}
		Assertions.assertThat(condition.getAsBoolean()).isTrue();
	}

	private List<StoredObject> pages() {
		PlatformAnswer answer = this.history.platform
			.look(new PlatformRequest.ListObjects(ObjectKind.ORDER_SHARD, "", 1000));
		return ((PlatformAnswer.Listed) answer).objects();
	}

	private void put(OrderShard page) {
		this.history.platform.look(new PlatformRequest.Create(ShardPlacement.page(page.shard(), page.page()), page));
	}

	private static OrderClaim recorded(OrderKey key) {
		return new OrderClaim(key, new Fingerprint("a"), NodeIncarnation.of(NodeName.of("n9"), 1), "n9-1-r1",
				OrderStatus.RECORDED, Optional.of(new RecordedAnswer(200, "text/plain", "earlier")), 0);
	}

	private static Refusal refusal(Call call) {
		RequestOutcome outcome = call.outcome().orElseThrow();
		if (outcome instanceof RequestOutcome.Unknown unknown) {
			return unknown.refusal();
		}
		return ((RequestOutcome.NotRun) outcome).refusal();
	}

}
