package sycamorehill.logic.dispatch;

import java.time.Duration;

/**
 * Words why a request is refused that could be sent to no target.
 */
final class RefusalCauses {

	private RefusalCauses() {
	}

	/**
	 * Returns why a request is refused that no target admits.
	 * @param request the request
	 * @param selection the selection that admits it to no target
	 * @param fallbackCause the cause if there is no target at all
	 * @return the cause, which names the home regions of the request if it has any
	 */
	static String ofSelection(DispatchedRequest request, TargetSelector.Selection selection, String fallbackCause) {
		return withHomes(request, selection.choice().isEmpty() ? fallbackCause : describeFull(selection));
	}

	private static String describeFull(TargetSelector.Selection selection) {
		return "all targets are full" + selection.exceededShare().map((share) -> ", " + share).orElse("");
	}

	static String withHomes(DispatchedRequest request, String cause) {
		return request.homes().isRestricted() ? cause + ", " + request.homes().describe() : cause;
	}

	/**
	 * Returns why a request is refused if this node and those through which it may be
	 * sent reach no target.
	 * @param request the request
	 * @return the cause
	 */
	static String noPath(DispatchedRequest request) {
		return request.homes().isRestricted()
				? withHomes(request, "no node of this region or of the home regions reaches a target")
				: "no node reaches a target";
	}

	/**
	 * Describes the rest of all targets as the end of a cause.
	 * @param restLeft how long all targets of a request still rest
	 * @return the end of the cause; empty if a target doesn't rest
	 */
	static String describeRest(Duration restLeft) {
		return restLeft.isZero() ? "" : ", all targets rest";
	}

}
