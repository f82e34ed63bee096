// Replaces optional dependencies of libraries that the router doesn't use; loading them took a tenth of its start-up time.
throw new Error('optional dependency excluded from the bundle');
