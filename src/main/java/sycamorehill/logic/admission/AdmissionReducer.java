package sycamorehill.logic.admission;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * Limits, queues and early refusal.
 */
public final class AdmissionReducer implements Reducer<AdmissionState> {

	private AdmissionReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static AdmissionReducer create() {
		return new AdmissionReducer();
	}

	@Override
	public Step<AdmissionState> reduce(AdmissionState state, Instant now, Event event, NodeView view) {
		if (event instanceof RequestEvent.Arrived arrived) {
			return Step.of(state, new NodeEffect.Raise(decide(arrived.request(), view)));
		}
		return Step.of(state);
	}

	private static RequestEvent decide(RequestDescription request, NodeView view) {
		RequestCheck check = RequestCheck.of(request, view);
		if (check.refusal().isPresent()) {
			return new RequestEvent.Refused(request.identifier(), new RequestOutcome.NotRun(check.refusal().get()));
		}
		return new RequestEvent.Admitted(request, check.handling());
	}

}
