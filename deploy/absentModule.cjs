// Replaces optional dependencies that the router doesn't use; loading them took a tenth of its start-up time.
throw new Error('optional dependency excluded from the bundle');
