package sycamorehill.settings;

/**
 * One fault in a settings file.
 *
 * @param section the section
 * @param key the key, empty where the section itself is at fault
 * @param value what stands there, empty if nothing does
 * @param expected what was expected
 */
public record SettingFault(String section, String key, String value, String expected) {

	@Override
	public String toString() {
		String place = "[" + this.section + "]" + (this.key.isEmpty() ? "" : " " + this.key);
		String found = this.value.isEmpty() ? "" : " = '" + this.value + "'";
		return place + found + ": " + this.expected;
	}

}
