/** The version of all programs; a test compares it with package.json. */
export const version = '0.1.0';
