package sycamorehill.logic.layout;

import java.util.Optional;

import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * An engine that serves in no group.
 *
 * @param entry its directory entry
 * @param loading the model that its host is loading
 * @param usable whether it may join a group now; a survivor of a group whose head may
 * still serve may join some seconds later
 * @param reassignable whether it has been free long enough for its weights to be replaced
 */
record SpareEngine(TargetEntry entry, Optional<String> loading, boolean usable, boolean reassignable) {

	/**
	 * Returns whether the engine holds a model's weights, or will hold them when its load
	 * has ended.
	 * @param model the model
	 * @return true if it needs no further load for the model
	 */
	boolean holds(ModelParameters model) {
		return this.loading.map(model.name()::equals).orElseGet(() -> this.entry.staged().contains(model.name()));
	}

	/**
	 * Returns whether the engine can join a group of a model and be ready within seconds.
	 * @param model the model
	 * @return true if it may join now and its host holds the weights
	 */
	boolean ready(ModelParameters model) {
		return this.usable && this.loading.isEmpty() && this.entry.staged().contains(model.name());
	}

	boolean hasNoWeights() {
		return this.loading.isEmpty() && this.entry.staged().isEmpty();
	}

	boolean canLoad() {
		return this.usable && this.loading.isEmpty();
	}

}
