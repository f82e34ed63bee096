// Optional parts of libraries that the router does not use: loading them took a tenth of its start.
throw new Error('left out of the bundle');
