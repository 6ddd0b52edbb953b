package sycamorehill.logic.layout;

import java.util.Optional;

import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * An engine that serves in no group.
 *
 * @param entry what it says of itself
 * @param loading the model that its host is loading
 * @param usable whether it may join a group now; survivors of a group whose head may
 * still serve may do so some seconds later
 * @param reassignable whether it has been free long enough for its weights to be given up
 */
record SpareEngine(TargetEntry entry, Optional<String> loading, boolean usable, boolean reassignable) {

	/**
	 * Whether the engine holds a model's weights, or will when its load has ended.
	 * @param model the model
	 * @return true if it needs no load for that model
	 */
	boolean holds(ModelFigures model) {
		return this.loading.map(model.name()::equals).orElseGet(() -> this.entry.staged().contains(model.name()));
	}

	/**
	 * Whether the engine can join a group of a model and be ready within seconds.
	 * @param model the model
	 * @return true if its host holds the weights
	 */
	boolean ready(ModelFigures model) {
		return this.usable && this.loading.isEmpty() && this.entry.staged().contains(model.name());
	}

	boolean hasNoWeights() {
		return this.loading.isEmpty() && this.entry.staged().isEmpty();
	}

	boolean canLoad() {
		return this.usable && this.loading.isEmpty();
	}

}
