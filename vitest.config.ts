import {defineConfig} from 'vitest/config';

/**
 * Test runner settings. Tests under `test` start processes and share the machine's cores with them,
 * so they run one file at a time, after the others.
 */
const config = defineConfig({
  test: {
    testTimeout: 60000,
    hookTimeout: 60000,
    // Its modules import folders, which only a bundler resolves.
    server: {deps: {inline: ['clipanion']}},
    projects: [
      {
        extends: true,
        test: {
          name: 'parts',
          include: ['src/**/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
          maxWorkers: 4,
          sequence: {groupOrder: 1},
        },
      },
      {
        extends: true,
        test: {
          name: 'processes',
          include: ['test/**/*.test.ts'],
          maxWorkers: 1,
          sequence: {groupOrder: 2},
        },
      },
    ],
  },
});

export default config;
