import {PassThrough} from 'node:stream';

import {expect, it} from 'vitest';

import {BunyanLogger} from '../node/bunyanLogger.js';

it('writes one JSON line per call, with its fields and with secrets redacted', () => {
  const stream = new PassThrough();
  const logger = BunyanLogger.create(
    'program',
    'info',
    {instance: 'a'},
    stream,
  );
  logger.child({request: 'r'}).decision('route', {chosen: 'engine-1'});
  logger.warn('odd', {peerKey: 'secret-1', authorization: 'secret-2'});
  const text = String(stream.read());
  const lines = text
    .trim()
    .split('\n')
    .map(line => JSON.parse(line));
  expect(lines).toMatchObject([
    {instance: 'a', request: 'r', decision: 'route', chosen: 'engine-1'},
    {instance: 'a', msg: 'odd'},
  ]);
  expect(text).not.toContain('secret');
});
