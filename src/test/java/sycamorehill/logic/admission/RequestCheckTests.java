package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;

import static org.assertj.core.api.Assertions.assertThat;

class RequestCheckTests {

	private static final RequestDescription CHAT = RequestFixtures.chat(1, "large", Instant.EPOCH);

	private final FakeNodeView view = FakeNodeView.of("n", "one")
		.with(RequestFixtures.CHAT_SERVICE, RequestFixtures.PLAIN_SERVICE,
				RequestFixtures.workspace("large", 10, 10, 1));

	@Test
	void aNodeWithoutDesiredStateIsNotReady() {
		assertThat(reason(CHAT, FakeNodeView.of("n", "one"))).contains(RefusalReason.NODE_NOT_READY);
	}

	@Test
	void anUnknownKeyIsRefused() {
		assertThat(reason(RequestFixtures.chat(1, "stranger", Instant.EPOCH), this.view))
			.contains(RefusalReason.UNAUTHENTICATED);
	}

	@Test
	void anUnknownServiceIsRefused() {
		FakeNodeView without = FakeNodeView.of("n", "one").with(RequestFixtures.workspace("large", 10, 10, 1));
		assertThat(reason(CHAT, without)).contains(RefusalReason.UNKNOWN_SERVICE);
	}

	@Test
	void quarantinedContentIsRefused() {
		assertThat(reason(CHAT, this.view.quarantine(new Fingerprint("f1")))).contains(RefusalReason.QUARANTINED);
	}

	@Test
	void aModelServicesCallsAreRepeatable() {
		assertThat(RequestCheck.of(CHAT, this.view).idempotency()).isEqualTo(Idempotency.REPEATABLE);
	}

	@Test
	void aPlainCallWithoutRepeatRuleIsSentOnce() {
		RequestDescription order = RequestFixtures.order(1, "large", "POST", Optional.empty());
		assertThat(RequestCheck.of(order, this.view).idempotency()).isEqualTo(Idempotency.ONCE_WITHOUT_KEY);
	}

	@Test
	void aPlainCallWithKeyIsClaimedFirst() {
		RequestDescription order = RequestFixtures.order(1, "large", "POST", Optional.of(new OrderKey(1, 2)));
		assertThat(RequestCheck.of(order, this.view).idempotency()).isEqualTo(Idempotency.ONCE_WITH_KEY);
	}

	@Test
	void aPlainCallWithIdempotentRepeatRuleIsRepeatable() {
		RequestDescription order = RequestFixtures.order(1, "large", "GET", Optional.empty());
		assertThat(RequestCheck.of(order, this.view).idempotency()).isEqualTo(Idempotency.REPEATABLE);
	}

	private static Optional<RefusalReason> reason(RequestDescription request, FakeNodeView view) {
		return RequestCheck.of(request, view).refusal().map((refusal) -> refusal.reason());
	}

}
