/** The version of all programs. It must match package.json, which a test checks. */
export const version = '0.1.0';
