package sycamorehill.model.platform;

/**
 * Key of an object in the platform.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within its kind
 */
public record ObjectKey(ObjectKind kind, String name) {

	/**
	 * Creates a key.
	 * @param kind the kind
	 * @param name the name within the kind
	 * @return the key
	 */
	public static ObjectKey of(ObjectKind kind, String name) {
		return new ObjectKey(kind, name);
	}

}
