import {defineConfig} from 'vitest/config';

/** Test runner settings; tests that start processes run one file at a time. */
const config = defineConfig({
  test: {
    include: ['src/**/test/**/*.test.ts', 'test/**/*.test.ts'],
    testTimeout: 60000,
    hookTimeout: 60000,
    maxWorkers: 4,
    // Its modules import folders, which only a bundler resolves.
    server: {deps: {inline: ['clipanion']}},
  },
});

export default config;
