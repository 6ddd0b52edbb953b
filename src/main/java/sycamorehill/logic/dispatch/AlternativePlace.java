package sycamorehill.logic.dispatch;

import sycamorehill.model.serving.EntryEffect;

/**
 * Place at which a request could go on if it left its own target.
 */
sealed interface AlternativePlace {

	/**
	 * Another target.
	 *
	 * @param selection the target, which admits the request
	 */
	record At(TargetSelector.Selection selection) implements AlternativePlace {
	}

	/**
	 * Another node, which selects the target.
	 *
	 * @param node the node
	 */
	record Through(EntryEffect.ProxyNode node) implements AlternativePlace {
	}

}
