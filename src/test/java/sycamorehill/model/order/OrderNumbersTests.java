package sycamorehill.model.order;

import java.time.Duration;
import java.time.Instant;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.request.OrderKey;

class OrderNumbersTests {

	private static final NodeIncarnation ISSUER = NodeIncarnation.of(NodeName.of("node-1"), 0x1f);

	private static final Instant NOW = Instant.parse("2026-12-02T23:00:00Z");

	@Property(seed = "1")
	void callersOwnKeyIsNeverTakenForAnIssuedNumber(@ForAll long high, @ForAll long low) {
		OrderKey key = OrderNumbers.encodeOrigin(new OrderKey(high, low), "booking-17");
		Assertions.assertThat(OrderNumbers.isIssued(key)).isFalse();
	}

	@Property(seed = "1")
	void issuedNumberIdentifiesItsIssuer(@ForAll long random, @ForAll long low) {
		OrderKey key = OrderNumbers.encodeOrigin(new OrderKey(0, low), OrderNumbers.issue(ISSUER, NOW, random));
		Assertions.assertThat(OrderNumbers.isIssued(key)).isTrue();
		Assertions.assertThat(OrderNumbers.isIssuedBy(key, ISSUER)).isTrue();
	}

	@Test
	void nextIncarnationIsNotTheIssuer() {
		OrderKey key = OrderNumbers.encodeOrigin(new OrderKey(0, 5), OrderNumbers.issue(ISSUER, NOW, 3));
		NodeIncarnation next = NodeIncarnation.of(ISSUER.node(), ISSUER.number() + 1);
		Assertions.assertThat(OrderNumbers.isIssuedBy(key, next)).isFalse();
	}

	@Property(seed = "1")
	void ageIsTheTimeSinceTheIssue(@ForAll @IntRange(max = 10_000_000) int seconds) {
		OrderKey key = OrderNumbers.encodeOrigin(new OrderKey(0, 5), OrderNumbers.issue(ISSUER, NOW, 3));
		Assertions.assertThat(OrderNumbers.age(key, NOW.plusSeconds(seconds))).isEqualTo(Duration.ofSeconds(seconds));
	}

}
