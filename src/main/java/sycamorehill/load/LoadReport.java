package sycamorehill.load;

import java.util.List;
import java.util.Map;

/**
 * What came of a load.
 *
 * @param chats completions by outcome
 * @param orders orders by outcome
 * @param ordersRepeated orders sent again under the same key through another node, by
 * outcome
 * @param refusals refusals by reason
 * @param firstToken time to the first token, from the planned start, in milliseconds
 * @param tokenGap time between tokens in milliseconds
 * @param tokens tokens delivered
 * @param violations every answer that was not whole, not the caller's own, or doubled
 */
public record LoadReport(Map<CallOutcome, Long> chats, Map<CallOutcome, Long> orders,
		Map<CallOutcome, Long> ordersRepeated, Map<String, Long> refusals, Latencies firstToken, Latencies tokenGap,
		long tokens, List<String> violations) {

	/**
	 * The report for people.
	 * @return several lines
	 */
	public String text() {
		return String.format(
				"completions      %s%norders           %s%norders repeated  %s%nrefusals         %s%n"
						+ "first token, ms  %s%ntoken gap, ms    %s%ntokens           %d%nviolations       %s%n",
				this.chats, this.orders, this.ordersRepeated, this.refusals, this.firstToken, this.tokenGap,
				this.tokens, this.violations.isEmpty() ? "none" : this.violations);
	}

}
