import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {AddressInfo} from 'node:net';

import {expect, it} from 'vitest';

import {StatsdMetrics} from '../node/statsdMetrics.js';

it('sends counters, gauges and timings with their tags', async () => {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  const {port} = socket.address() as AddressInfo;
  const metrics = new StatsdMetrics(`127.0.0.1:${port}`, {instance: 'a'});
  metrics.count('requests', 2, {class: 'order'});
  metrics.gauge('streams', 3);
  metrics.milliseconds('first_token', 4.5);
  const [message] = (await once(socket, 'message')) as [Buffer];
  metrics.dispose();
  socket.close();
  const [count, gauge, time] = message.toString().trim().split('\n');
  expect(count).toMatch(/^redwing\.requests:2\|c\|#.*class:order/);
  expect(gauge).toMatch(/^redwing\.streams:3\|g\|#instance:a/);
  expect(time).toMatch(/^redwing\.first_token:4\.5\|ms/);
});
