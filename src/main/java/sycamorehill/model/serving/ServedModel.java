package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.ServiceName;

/**
 * A service, or one model of a service of model engines. Its targets are the capacity
 * that workspaces share.
 *
 * @param service the service
 * @param model the model; empty for plain services
 */
public record ServedModel(ServiceName service, Optional<String> model) {

	@Override
	public String toString() {
		return this.service + this.model.map((name) -> "/" + name).orElse("");
	}

}
