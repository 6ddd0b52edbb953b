package sycamorehill.entry;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.entry.EntryReducer;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the metrics by workspace.
 */
class EntryMetricsTests {

	private static final WorkspaceName YARD = WorkspaceName.of("yard");

	private static final WorkspaceName SHOP = WorkspaceName.of("shop");

	private final EntryMetrics metrics = EntryMetrics.of(
			EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), Instant.EPOCH),
			LoopGuard.of(InstantSource.system(), () -> {
			}));

	// Workspaces come and go for months: their counters must not pile up.
	@Test
	void theCounterOfARemovedWorkspaceDisappears() {
		this.metrics.countRefusalOverShare(new EntryEffect.RefusedOverShare(YARD));
		this.metrics.countRefusalOverShare(new EntryEffect.RefusedOverShare(SHOP));
		this.metrics.countRefusalOverShare(new EntryEffect.RefusedOverShare(SHOP));
		assertThat(this.metrics.page().text()).contains("requests_refused_over_share_yard 1.0",
				"requests_refused_over_share_shop 2.0");
		this.metrics.retainWorkspaces(Set.of(SHOP));
		assertThat(this.metrics.page().text()).doesNotContain("requests_refused_over_share_yard")
			.contains("requests_refused_over_share_shop 2.0");
	}

}
