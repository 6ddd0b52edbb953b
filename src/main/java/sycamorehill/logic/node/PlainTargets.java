package sycamorehill.logic.node;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;

/**
 * The targets of a plain service, as its ticket names them.
 */
final class PlainTargets {

	private PlainTargets() {
	}

	static List<ServingTarget> of(ServiceItem service) {
		return service.plainTargets().stream().map((target) -> target(service, target)).toList();
	}

	private static ServingTarget target(ServiceItem service, PlainTarget target) {
		return new ServingTarget(target.name(), service.name(), target.dataCentre(), target.address(), Optional.empty(),
				List.of());
	}

}
