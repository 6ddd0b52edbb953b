package sycamorehill.model.platform;

/**
 * Names one object in the platform.
 *
 * @param kind its kind
 * @param name its name within the kind
 */
public record ObjectKey(ObjectKind kind, String name) {

	/**
	 * Creates the key.
	 * @param kind the kind
	 * @param name the name within the kind
	 * @return the key
	 */
	public static ObjectKey of(ObjectKind kind, String name) {
		return new ObjectKey(kind, name);
	}

}
