package sycamorehill.model.serving;

/**
 * What became of an order to an engine.
 */
public enum EngineCommandAnswer {

	/** The order has begun; the engine's count of orders went up by one. */
	BEGUN,

	/** What the order asks for holds already; the count stays. */
	HOLDS_ALREADY,

	/** The order doesn't fit the engine's state or its count of orders. */
	CONFLICT,

	/** The engine has seen a newer epoch. */
	OUTDATED,

	/** Another target has the address. */
	OTHER_TARGET,

	/** Nothing listens at the address. */
	NOTHING_LISTENS,

	/** No answer came: the order may still be carried out, seconds later. */
	NOT_KNOWN,

	/** The engine does not know such an order. */
	UNSUPPORTED;

	/**
	 * Whether what the order asks for holds or is on its way.
	 * @return true if the engine took the order or had nothing to do
	 */
	public boolean isSuccessful() {
		return this == BEGUN || this == HOLDS_ALREADY;
	}

}
