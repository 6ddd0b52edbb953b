#!/bin/sh
# The jar follows this stub: `exec` replaces the shell, so that one process runs and receives the signals.
# The bounds fit a small VM: a heap for control and open requests, few arenas for buffers, one compiler tier.
exec java ${SYCAMOREHILL_JAVA_OPTIONS:--XX:+UseSerialGC -Xmx160m -XX:MaxDirectMemorySize=96m -XX:ReservedCodeCacheSize=64m -Xss512k -Dio.netty.allocator.numDirectArenas=2 -Dio.netty.allocator.numHeapArenas=2} -Dio.netty.tryReflectionSetAccessible=false -jar "$0" "$@"
