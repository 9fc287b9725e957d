# Plots the CSV file of gbrload as SVG:
#   gnuplot -e "csv='load.csv'; svg='load.svg'" scripts/plot_load.gp
set terminal svg size 900,700 background "white"
set output svg
set datafile separator ","
set key outside right
set xlabel "time (s)"
set grid
set multiplot layout 2,1
set ylabel "latency p99 (ms)"
set yrange [0:*]
plot for [rank in "urgent normal background"] csv every ::1 \
  using (strcol(1) eq "all" || strcol(2) ne rank ? NaN : column(1)):7 \
  with linespoints title rank
set ylabel "on time (share)"
set yrange [0:1.05]
plot for [rank in "urgent normal background"] csv every ::1 \
  using (strcol(1) eq "all" || strcol(2) ne rank ? NaN : column(1)):4 \
  with linespoints title rank
unset multiplot
